#pragma once

#include "agent/interference_change.h"
#include "agent/monitored_kind.h"
#include "agent/monitored_pair.h"
#include "agent/monitored_run.h"
#include "base/clock.h"
#include "core/kind_pair.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <memory>
#include <optional>
#include <string_view>
#include <vector>

namespace teaselward
{

/**
 * Learns which kinds slow each other down at one endpoint. For each run it takes the share of a period from its start in which each
 * other kind was running. The period is the usual run time and not the actual one, so the length of the run cannot influence the share.
 * matched_test compares the runs of a kind with and without each other kind. A pair comes into force once a slowdown of more than 1.1
 * times is certain, and is dropped two minutes after it was last confirmed. Of the runs of one job only the first is compared, since
 * all of them share the error of the declared run time. Used by the decision thread only.
 *
 * Memory: at most 32 kinds of 3.2 KB, 992 pairs of 620 bytes, created with their first run, and 1,024 runs of 40 bytes: 760 KB for 32
 * kinds, 60 KB for three.
 */
class interference_monitor
{
public:
    /** Number of kinds that are monitored. Others are not, until one of these has not been used for a minute. */
    static constexpr std::size_t MaxKinds = 32;

    interference_monitor();

    /**
     * Finds or adds a kind.
     * @param name the kind
     * @param now current time
     * @return its index; empty if it cannot be monitored
     */
    std::optional<std::uint8_t> kindIndex(std::string_view name, mono_time now);

    /**
     * Records the start of a run.
     * @param kind index of its kind
     * @param job identifies its job among the recent ones
     * @param expected expected run time; more than zero
     * @param tasks number of tasks that run at the endpoint, without this one
     * @param now current time
     * @return number of the run, to be passed to ended()
     */
    std::uint64_t started(std::uint8_t kind, std::uint64_t job, std::chrono::microseconds expected, std::uint32_t tasks, mono_time now);

    /**
     * Records the end of a run.
     * @param kind index of its kind
     * @param run number of the run
     * @param ratio run time over expected run time; empty if it did not end by itself
     * @param now current time
     * @return pairs that came into force or were dropped
     */
    std::vector<interference_change> ended(std::uint8_t kind, std::uint64_t run, std::optional<double> ratio, mono_time now);

    /**
     * Drops the pairs that were not confirmed for two minutes.
     * @param now current time
     * @return the dropped pairs
     */
    std::vector<interference_change> expire(mono_time now);

    /** @return time of the next expire(); the maximum if no pair is in force */
    mono_time nextDue() const;

    /** @return all pairs in force */
    std::vector<kind_pair> pairs() const;

private:
    void replaceKind(std::size_t index, std::string_view name, mono_time now);
    monitored_pair &pairOf(std::size_t slowed, std::size_t slowing);
    bool isReplaceable(std::size_t index, mono_time now) const;
    kind_pair describe(std::size_t slowed, std::size_t slowing) const;
    void compareEnded(mono_time now, std::vector<interference_change> &changes);
    void compare(const monitored_run &run, mono_time now, std::vector<interference_change> &changes);
    double knownSlowdown(const monitored_run &run, std::size_t except) const;
    static bool isRepeated(monitored_kind &kind, std::uint64_t job);

    std::vector<monitored_kind> m_kinds;
    std::vector<std::unique_ptr<monitored_pair>> m_pairs; ///< Indexed by slowed kind * MaxKinds + slowing kind; created with the first run.
    std::deque<monitored_run> m_runs; ///< In the order of their starts.
    std::uint64_t m_firstRun = 1; ///< Number of the first run in m_runs.
    mono_time m_nextDue = mono_time::max();
};

} // namespace teaselward
