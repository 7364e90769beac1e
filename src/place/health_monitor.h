#pragma once

#include "base/clock.h"
#include "core/task_outcome.h"
#include "place/endpoint_record.h"
#include "place/kind_record.h"

#include <cstddef>
#include <cstdint>

namespace teaselward
{

/** Evaluates endpoints by the outcomes of their tasks, compared with other endpoints of the same kind. */
class health_monitor
{
public:
    /**
     * Updates the health of an endpoint after an outcome.
     * @param endpoint the endpoint
     * @param kindIndex index of the kind
     * @param kind statistics of the kind; updated too
     * @param outcome outcome of a task of the kind
     * @param now current time
     * @param usualFactor factor by which run times at this endpoint usually exceed those at the median endpoint
     */
    void record(endpoint_record &endpoint, std::size_t kindIndex, kind_record &kind, const task_outcome &outcome, mono_time now, double usualFactor = 1) const;

    /**
     * Checks whether the run times of an endpoint are far above the usual ones of their kinds.
     * @param endpoint the endpoint
     */
    static bool isSlow(const endpoint_record &endpoint);

    /**
     * Excludes a slow endpoint until a probe runs at the usual speed.
     * @param endpoint the endpoint
     * @param now current time
     */
    static void excludeSlow(endpoint_record &endpoint, mono_time now);

private:
    static void recordRun(endpoint_record &endpoint, std::size_t kindIndex, kind_record &kind, bool failed, mono_time now);
    static void exclude(endpoint_record &endpoint, mono_time now);
    static double recordRunTime(endpoint_record &endpoint, kind_record &kind, const task_outcome &outcome, double usualFactor);
    static void recordSaturation(endpoint_record &endpoint, mono_time now);
    static void recordEvacuation(endpoint_record &endpoint, mono_time now);
    static void recordProbe(endpoint_record &endpoint, bool failed, mono_time now);
};

} // namespace teaselward
