#pragma once

#include "base/clock.h"

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>

namespace teaselward
{

/** When tasks of a kind were running at an endpoint, for the last 128 changes. */
class presence_history
{
public:
    /**
     * Records that the first task of the kind has started or the last one has ended.
     * @param isPresent whether a task of the kind is running
     * @param now current time
     */
    void change(bool isPresent, mono_time now);

    /**
     * Computes the share of a period in which a task of the kind was running.
     * @param from start of the period
     * @param to end of the period, not in the future; later than its start
     * @return share from 0 to 1; empty if the period began before the recorded changes
     */
    std::optional<double> share(mono_time from, mono_time to) const;

private:
    /** Change of the presence. */
    struct entry {
        mono_time at{};
        std::chrono::nanoseconds presentBefore{}; ///< Total time of presence up to the change.
        bool isPresent = false; ///< Presence from the change on.
    };

    /** Number of recorded changes. It covers a few seconds of a kind that comes and goes 30 times a second. */
    static constexpr std::size_t MaxChanges = 128;

    const entry &newest(std::size_t age) const;
    std::optional<std::chrono::nanoseconds> presentUntil(mono_time when) const;

    std::array<entry, MaxChanges> m_entries{};
    std::uint64_t m_count = 0; ///< Changes so far; the newest are in the ring.
};

} // namespace teaselward
