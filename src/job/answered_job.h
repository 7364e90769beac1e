#pragma once

#include "job/packed_answer.h"
#include "job/request_digest.h"

#include <memory>

namespace teaselward
{

/** Job with a final answer. */
struct answered_job {
    request_digest digest{};
    std::shared_ptr<const packed_answer> answer; ///< Shared by all tickets joined by the same client key.
};

} // namespace teaselward
