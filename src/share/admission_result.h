#pragma once

#include "core/reason.h"

#include <chrono>
#include <optional>

namespace teaselward
{

/** Verdict on a submission. */
struct admission_result {
    reason why = reason::none; ///< None if the job is admitted.
    std::chrono::milliseconds retryAfter{}; ///< Earliest useful time for a new attempt; zero if none.
    std::optional<std::chrono::milliseconds> startTimeout{}; ///< An admitted job that has not started after this time misses its objective.
};

} // namespace teaselward
