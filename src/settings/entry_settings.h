#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace teaselward
{

/** Settings of an entry process. */
struct entry_settings {
    std::string role;
    std::string failureDomain;
    bool logDecisions = true;
    std::string callersListen;
    std::uint32_t bodyLimit = 4U << 20U;
    std::uint32_t connectionLimit = 4096;
    std::chrono::milliseconds idleTimeout = std::chrono::seconds(60);
    std::string operatorsListen;
    std::string operatorsToken;
    std::string peersListen;
    std::vector<std::string> peers;
    std::chrono::milliseconds lease = std::chrono::seconds(2);
    std::chrono::milliseconds heartbeat = std::chrono::milliseconds(500);
    std::string ticketKey;
    std::chrono::milliseconds ticketLifetime = std::chrono::minutes(10);
    std::string logUrl;
    std::string logStream = "teaselward-config";
    std::chrono::milliseconds logRetention = std::chrono::hours(24);
    std::chrono::milliseconds drainBound = std::chrono::seconds(30);
    std::chrono::milliseconds drainAccept{}; ///< Time after a stop request during which the entry still accepts requests.
    std::chrono::milliseconds startupWait{}; ///< Time after the start in which jobs may wait for the first agents.
    std::string strategy = "credits";
    bool separateKinds = false; ///< Separate kinds that slow each other down.
    std::string platformStore; ///< Address of the platform's store; empty to read the configuration from the log instead.
    std::string platformFront; ///< Address on which clients of the platform connect.
    std::string platformReadiness; ///< Address on which the load balancer of the platform checks readiness.
};

} // namespace teaselward
