#pragma once

#include "core/job_answer.h"
#include "core/refusal_decision.h"

#include <chrono>
#include <optional>

namespace teaselward
{

/** Decision on a new job. */
struct admission_decision {
    std::optional<job_answer> refused; ///< Answer to the caller if the job is refused.
    std::optional<std::chrono::milliseconds>
        startTimeout; ///< An accepted job that has not started after this time is refused; empty if its kind has no objective.
    refusal_decision decision = refusal_decision::none; ///< Decision that refused the job for lack of capacity.
};

} // namespace teaselward
