#pragma once

#include "core/task_resources.h"

#include <chrono>
#include <cstdint>
#include <string>

namespace teaselward
{

/** What an endpoint says about itself in a heartbeat. */
struct endpoint_announcement {
    std::string id; ///< May stay the same over several lives of the endpoint.
    std::chrono::milliseconds born{}; ///< Start of this life since 1970; zero if it is not told.
    std::string service;
    std::string address; ///< Address for calls as IP:PORT.
    std::string failureDomain;
    std::uint32_t slots = 1;
    task_resources capacity;
    bool isDraining = false; ///< It takes no new work and will leave.
    std::uint64_t sequence = 0; ///< Rises with each heartbeat of one life.
};

} // namespace teaselward
