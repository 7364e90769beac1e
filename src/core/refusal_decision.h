#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <string_view>

namespace teaselward
{

/** Decision of an entry that has refused a job for lack of capacity. Several decisions have the same reason. */
enum class refusal_decision : std::uint8_t {
    none, ///< Not refused for lack of capacity.
    queueLimit, ///< The queue of the kind is full.
    estimatedWait, ///< The wait in the queue is expected to be too long.
    deadlineForecast, ///< The run is expected to end after the deadline.
    waitingTime, ///< The job has not started within the limit of its waiting time.
    placementsUsedUp, ///< The agents have refused a task too often.
    noEndpoint, ///< No connected endpoint offers the kind.
    memoryLimit, ///< The entry holds too many jobs.
};

/** Names of the decisions in log lines and metrics, indexed by the value of the enumerator. */
constexpr std::array<std::string_view, 8> RefusalDecisionNames
    = {"none", "queue_limit", "estimated_wait", "deadline_forecast", "waiting_time", "placements_used_up", "no_endpoint", "memory_limit"};

/** @return name of a decision in log lines and metrics */
constexpr std::string_view refusalDecisionName(refusal_decision decision)
{
    return RefusalDecisionNames.at(static_cast<std::size_t>(decision));
}

} // namespace teaselward
