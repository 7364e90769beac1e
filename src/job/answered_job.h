#pragma once

#include "job/packed_answer.h"
#include "job/request_digest.h"

#include <memory>

namespace teaselward
{

/** Answered job. */
struct answered_job {
    request_digest digest{};
    std::shared_ptr<const packed_answer> answer; ///< Shared by the tickets that a client key joined.
};

} // namespace teaselward
