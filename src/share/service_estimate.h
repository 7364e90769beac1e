#pragma once

#include "base/clock.h"

namespace teaselward
{

/** Slots that a kind gets at this entry while it has a backlog, averaged over several seconds. */
class service_estimate
{
public:
    /**
     * Adds an observation.
     * @param slots slots in use by the kind since the last observation
     * @param backlogged whether tasks of the kind waited
     * @param now present time
     */
    void observe(double slots, bool backlogged, mono_time now);

    /**
     * Gives the slots that a further job can count on.
     * @param started slots in use now, used until there is an observation
     * @param expected slots by the share of the kind, which it gets at least
     */
    double slots(double started, double expected) const;

private:
    double m_average = 0;
    double m_observed = 0; ///< Seconds of backlog in the average.
    mono_time m_last{};
};

} // namespace teaselward
