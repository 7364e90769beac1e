#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace teaselward
{

/** Settings of an agent process. */
struct agent_settings {
    std::string role;
    std::string failureDomain;
    bool logDecisions = true;
    std::string endpointAddress;
    std::vector<std::string> kinds;
    std::uint32_t slots = 8;
    std::uint32_t connections = 64;
    std::uint32_t resultLimit = 4U << 20U;
    bool watchInterference = false; ///< Learn which kinds slow each other down.
    bool exactSlots = false; ///< Offer what fits beside the running tasks instead of the capacity over the mean size of a task.
    std::chrono::milliseconds connectTimeout = std::chrono::seconds(1);
    std::vector<std::string> entries;
    std::chrono::milliseconds lease = std::chrono::seconds(2);
    std::chrono::milliseconds heartbeat = std::chrono::milliseconds(500);
    std::chrono::milliseconds reconnectLimit = std::chrono::seconds(2);
    std::uint32_t sessions = 0; ///< Entries to keep sessions with; zero for all known entries.
    std::chrono::milliseconds retention = std::chrono::minutes(15);
    std::chrono::milliseconds drainBound = std::chrono::seconds(30);
    std::string platformControl; ///< Address that receives the heartbeats of the platform's worker; empty for an endpoint with the protocol of this project.
    std::string platformService; ///< Service of the worker.
    std::chrono::milliseconds startWindow = std::chrono::seconds(1); ///< Time after the notice of a stop during which short tasks may start.
};

} // namespace teaselward
