#pragma once

#include "core/agent_id.h"

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace teaselward
{

/** Properties that an agent announces of itself and its endpoint. */
struct agent_info {
    agent_id id;
    std::string address; ///< Address of the endpoint as IP:PORT; stable over restarts.
    std::string failureDomain;
    std::uint32_t slots = 0; ///< Maximum number of concurrent tasks at the endpoint.
    std::uint32_t connections = 0; ///< Maximum number of connections that the endpoint accepts.
    std::vector<std::string> kinds; ///< Kinds that the endpoint offers.
    bool leaving = false; ///< The agent accepts no new tasks.
    std::chrono::milliseconds endpointStart{}; ///< Start of the endpoint instance since 1970; zero if it is not announced.
    std::uint64_t fencingToken = 0; ///< Token that the endpoint instance accepted from this incarnation; zero if it has none.
    std::string machineType{}; ///< Type of the worker's machine; empty if it is not announced.
    double runTimeFactor = 0; ///< Run times at the endpoint over the expected ones; zero if unknown.
};

} // namespace teaselward
