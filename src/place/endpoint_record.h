#pragma once

#include "base/clock.h"
#include "core/agent_info.h"
#include "place/endpoint_kind_stats.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <vector>

namespace teaselward
{

/** One endpoint that an entry knows. */
struct endpoint_record {
    agent_info info;
    bool connected = false; ///< Connected and not leaving.
    std::int32_t credits = 0; ///< Negative while a credit that was taken back had already been used.
    std::uint32_t outstanding = 0; ///< Tasks that this entry has started there.

    // Health
    bool excluded = false;
    bool probeDue = false; ///< The next task may go there although the endpoint is excluded.
    bool probing = false; ///< A probe is in progress.
    double suspicion = 0; ///< Sum of the log-likelihood ratios of a failing over a usual endpoint, never below zero.
    std::chrono::milliseconds probeInterval{};
    mono_time nextProbe{};
    std::chrono::milliseconds holdInterval{};
    mono_time holdUntil{}; ///< The endpoint refused a start and gets no work until then.
    double slowness = 0; ///< Sum of the logarithms of run time over the usual run time of the kind, less a drift, never below zero.
    bool isSlow = false; ///< Excluded since its run times are too long.
    std::vector<endpoint_kind_stats> kinds;

    // Place in the index
    std::size_t pool = 0;
    std::uint32_t level = 0; ///< Zero if not placeable.
    std::size_t position = 0; ///< Position among the endpoints of the same level.
};

} // namespace teaselward
