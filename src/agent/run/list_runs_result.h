#pragma once

#include "agent/run/call_result.h"
#include "agent/run/run_end.h"
#include "agent/run/run_progress.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <vector>

namespace teaselward
{

/** Answer to list_runs. */
struct list_runs_result {
    std::uint64_t number = 0; ///< Sequence number of the call.
    call_result result = call_result::unanswered; ///< The lists are valid only if the call was accepted.
    std::optional<std::chrono::milliseconds> endpointTime; ///< Endpoint clock at the time of the answer.
    std::optional<std::chrono::milliseconds> endpointStart; ///< Start time of the endpoint instance since 1970.
    std::vector<run_progress> running;
    std::vector<run_end> ended;
};

} // namespace teaselward
