#pragma once

#include "core/task_resources.h"

#include <chrono>
#include <cstdint>
#include <string>

namespace teaselward
{

/** State of an endpoint as announced in its heartbeat. */
struct endpoint_announcement {
    std::string id; ///< Later instances of the endpoint may have the same id.
    std::chrono::milliseconds endpointStart{}; ///< Start time of this instance since 1970; zero if it is not announced.
    std::string service;
    std::string address; ///< Address for calls as IP:PORT.
    std::string failureDomain;
    std::uint32_t slots = 1;
    task_resources capacity;
    bool isDraining = false; ///< The endpoint accepts no new tasks and will stop.
    std::uint64_t sequence = 0; ///< Increases with each heartbeat of an instance.
};

} // namespace teaselward
