#pragma once

#include "core/reason.h"
#include "core/refusal_decision.h"

#include <chrono>
#include <optional>

namespace teaselward
{

/** Result of the admission check of a job. */
struct admission_result {
    reason why = reason::none; ///< reason::none if the job is admitted.
    std::chrono::milliseconds retryAfter{}; ///< Time after which a new attempt makes sense; zero if unknown.
    std::optional<std::chrono::milliseconds> slack{}; ///< The objective is missed if the job starts later; empty without objective.
    std::chrono::milliseconds run{}; ///< Expected run time of its longest task, which the slack allows for.
    std::optional<std::chrono::milliseconds> startTimeout{}; ///< The job is refused if it has not started by then; empty without objective.
    refusal_decision decision = refusal_decision::none; ///< Decision that refused the job for lack of capacity.
};

} // namespace teaselward
