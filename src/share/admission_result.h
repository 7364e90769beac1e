#pragma once

#include "core/reason.h"

#include <chrono>

namespace teaselward
{

/** Verdict on a submission. */
struct admission_result {
    reason why = reason::none; ///< None if the job is admitted.
    std::chrono::milliseconds retryAfter{}; ///< Earliest useful time for a new attempt; zero if none.
};

} // namespace teaselward
