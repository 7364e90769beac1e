#pragma once

#include "base/clock.h"

#include <cstdint>

namespace teaselward
{

/**
 * Limits the work of a cold endpoint, which runs tasks slowly for an announced time after its start. The part of its slots that is
 * granted grows with time, so that an endpoint that joins during a burst is not filled with tasks that it cannot serve in time. The
 * part grows in steps: each one costs at most one message to each entry. Only credits are limited; a start that arrives anyway is served,
 * since holding it back delays short tasks more than the endpoint's slowness does.
 */
class warm_up
{
public:
    /** Part of the slots that is granted at once. */
    static constexpr double FirstPart = 0.25;

    /** Steps from the first part to all slots. */
    static constexpr int Steps = 8;

    /** Creates the state of a warm endpoint. */
    warm_up() = default;

    /**
     * Creates the state of an endpoint.
     * @param since time of its first heartbeat
     * @param warmAt time from which it is warm; an endpoint for which this is not later than its first heartbeat is warm
     */
    warm_up(mono_time since, mono_time warmAt);

    /**
     * Replaces the end of the warm-up. It begins anew for an endpoint that was warm.
     * @param warmAt time from which the endpoint is warm
     * @param now current time
     */
    void update(mono_time warmAt, mono_time now);

    /**
     * Returns the part of the endpoint that may be used.
     * @param now current time
     * @return part from FirstPart to 1
     */
    double part(mono_time now) const;

    /**
     * Returns the number of slots that may be granted.
     * @param slots slots of the warm endpoint
     * @param now current time
     * @return number of slots, at least one unless the endpoint has none
     */
    std::uint32_t slots(std::uint32_t slots, mono_time now) const;

    /**
     * Checks whether the part has changed since the last call.
     * @param now current time
     */
    bool hasChanged(mono_time now);

    /**
     * Returns the time of the next step.
     * @param now current time
     * @return the time; the maximum once the endpoint is warm
     */
    mono_time nextDue(mono_time now) const;

private:
    int step(mono_time now) const;

    mono_time m_since{};
    mono_time m_warmAt{};
    int m_lastStep = Steps; ///< Step at the last call of hasChanged().
};

} // namespace teaselward
