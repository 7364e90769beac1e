#pragma once

#include "base/clock.h"
#include "core/task_resources.h"

#include <chrono>
#include <cstdint>
#include <optional>
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
    std::optional<std::chrono::milliseconds> remaining; ///< Least time until a draining endpoint stops; empty if it is not announced.
    std::chrono::milliseconds coldRemaining{}; ///< Time during which the endpoint runs tasks slowly after its start.
    mono_time receivedAt{}; ///< Time of its arrival at this process, from which the remaining times count.
    std::string machineType; ///< Type of the worker's machine; empty if it is not announced.
    std::uint64_t sequence = 0; ///< Increases with each heartbeat of an instance.
};

} // namespace teaselward
