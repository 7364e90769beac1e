#pragma once

#include "core/rule_set.h"

#include <chrono>
#include <cstddef>
#include <cstdint>

namespace teaselward::testing
{

/** Size and timing of a scenario. */
struct simulated_cluster_settings {
    std::size_t entries = 2;
    std::size_t agents = 2;
    std::uint32_t slots = 4;
    std::uint64_t seed = 1;
    std::chrono::microseconds latency = std::chrono::microseconds(500); ///< One-way latency, without jitter.
    std::chrono::milliseconds lease = std::chrono::seconds(2);
    std::chrono::milliseconds reconnect = std::chrono::milliseconds(200);
    std::chrono::milliseconds ticketLifetime = std::chrono::minutes(10);
    rule_set rules;
};

} // namespace teaselward::testing
