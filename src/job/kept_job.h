#pragma once

#include "job/kept_answer.h"
#include "job/request_digest.h"

#include <memory>

namespace teaselward
{

/** Answered job. */
struct kept_job {
    request_digest digest{};
    std::shared_ptr<const kept_answer> answer; ///< Shared by the tickets that a client key joined.
};

} // namespace teaselward
