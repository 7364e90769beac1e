#pragma once

#include "base/clock.h"

namespace teaselward
{

/** Moving average of the slots that a kind gets at this entry while it has a backlog. */
class service_estimate
{
public:
    /**
     * Adds an observation.
     * @param slots slots used by the kind since the last observation
     * @param backlogged whether tasks of the kind were queued
     * @param now current time
     */
    void observe(double slots, bool backlogged, mono_time now);

    /**
     * Returns the number of slots that another job can count on.
     * @param started slots in use now; the result until there are enough observations
     * @param expected minimum number of slots, from the share of the kind
     */
    double slots(double started, double expected) const;

private:
    double m_average = 0;
    double m_observedSeconds = 0; ///< Time with a backlog covered by the average, in seconds.
    mono_time m_lastUpdate{};
};

} // namespace teaselward
