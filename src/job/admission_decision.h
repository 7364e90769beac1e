#pragma once

#include "core/job_answer.h"

#include <chrono>
#include <optional>

namespace teaselward
{

/** Verdict on a new job. */
struct admission_decision {
    std::optional<job_answer> refused; ///< Set if the job is not accepted.
    std::optional<std::chrono::milliseconds> startTimeout; ///< An accepted job that has not started after this time misses its objective.
};

} // namespace teaselward
