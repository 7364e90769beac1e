#pragma once

#include "base/clock.h"
#include "core/agent_info.h"
#include "place/endpoint_kind_stats.h"
#include "place/speed_class.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

namespace teaselward
{

/** State of one endpoint known to an entry. */
struct endpoint_record {
    agent_info info;
    bool connected = false; ///< Connected and not leaving.
    mono_time lostAt{}; ///< Time at which it was last disconnected.
    std::int32_t credits = 0; ///< Negative if a recalled credit had already been used.
    std::uint32_t outstanding = 0; ///< Unfinished tasks that this entry has started there.

    // Health
    bool excluded = false; ///< Found to fail or to be slow; gets only probes until one succeeds.
    bool probeDue = false; ///< The next task may be sent there as a probe although the endpoint is excluded.
    bool probing = false; ///< A probe task is in progress.
    double suspicion = 0; ///< Sum of the log-likelihood ratios of a failing endpoint against a normal one, never below zero.
    std::chrono::milliseconds probeInterval{}; ///< Time between probes; doubled up to a limit after each failed one.
    mono_time nextProbe{}; ///< Time from which the next probe may be sent.
    std::chrono::milliseconds backoffInterval{}; ///< Delay after the latest refusal; zero once a task has run.
    mono_time backoffUntil{}; ///< The endpoint refused a start and gets no tasks until this time.
    double slowness = 0; ///< Sum of log(run time / usual run time of the kind) minus a drift per run, never below zero.
    bool isSlow = false; ///< Excluded because its run times are too long.
    std::vector<endpoint_kind_stats> kinds; ///< Kinds that the endpoint has run.

    // Speed
    double relativeFactor = 1; ///< Run time factor relative to the median of the connected endpoints.
    std::optional<double> usualLogFactor; ///< Logarithm of the relative factor over the last half minute; empty until its agent has a factor.
    std::size_t speedClass = UsualSpeedClass; ///< Always the usual class unless the placement strategy uses classes.

    // Position in endpoint_pool.
    std::size_t pool = 0; ///< Index of the pool.
    std::uint32_t level = 0; ///< Rank given by the placement strategy, higher is better; zero if not available for tasks.
    std::size_t position = 0; ///< Position among the endpoints of the same level.
};

} // namespace teaselward
