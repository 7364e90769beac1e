#pragma once

#include "core/job_answer.h"

#include <chrono>
#include <optional>

namespace teaselward
{

/** Decision on a new job. */
struct admission_decision {
    std::optional<job_answer> refused; ///< Answer to the caller if the job is refused.
    std::optional<std::chrono::milliseconds> startTimeout; ///< Time by which an accepted job must start to meet its objective; empty if it has none.
};

} // namespace teaselward
