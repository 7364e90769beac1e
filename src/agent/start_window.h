#pragma once

#include "base/clock.h"

#include <chrono>
#include <optional>

namespace teaselward
{

/**
 * Decides which tasks may still start at an endpoint that has announced its stop. Short ones may for a while: endpoints leave in the
 * middle of bursts, and a sixth of the capacity serves many jobs in a second.
 */
class start_window
{
public:
    /**
     * Default length, from the first notice to the last start. The platform allows 2 s; a start that waits in the agent is sent at the latest
     * 600 ms later, since the confirmation of its home is too old then.
     */
    static constexpr std::chrono::milliseconds Length{1000};

    /** Probability of not ending before the stop up to which a task may start: it takes less than 1.9 times its expected time. */
    static constexpr double MaxMissProbability = 0.05;

    /**
     * Creates the state of an endpoint that has announced nothing.
     * @param length time from the first notice to the last start; zero if nothing starts after it
     */
    explicit start_window(std::chrono::milliseconds length = Length);

    /**
     * Handles a notice. The first one opens the window, a later one changes the time of the stop only.
     * @param stopsAt time at which the endpoint stops
     * @param now current time
     */
    void announce(mono_time stopsAt, mono_time now);

    /** Closes the window for good. */
    void close();

    /** @return whether there was a notice */
    bool isAnnounced() const;

    /**
     * Checks whether any start is allowed.
     * @param now current time
     * @return false before the first notice too
     */
    bool isOpen(mono_time now) const;

    /**
     * Checks whether a task may start.
     * @param expected expected run time; zero if unknown
     * @param restartable whether its entry may start the task again
     * @param now current time
     */
    bool admits(std::chrono::microseconds expected, bool restartable, mono_time now) const;

    /** @return time at which an open window closes; the maximum if it is closed or there was no notice */
    mono_time nextDue() const;

private:
    std::chrono::milliseconds m_length;
    std::optional<mono_time> m_closesAt; ///< Set by the first notice.
    mono_time m_stopsAt{};
    bool m_isClosed = false;
};

} // namespace teaselward
