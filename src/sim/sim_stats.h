#pragma once

#include "sim/sim_job.h"
#include "sim/sim_setup.h"

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <vector>

namespace teaselward
{

/** What one simulated run measured. */
class sim_stats
{
public:
    /** Result of one kind. */
    struct kind_result {
        std::vector<double> responses; ///< Of complete jobs in seconds.
        std::vector<double> ratios; ///< Response over the ideal one, of complete jobs.
        double goodput = 0; ///< Run time of the tasks of complete jobs in seconds.
        std::uint64_t offered = 0; ///< Jobs.
        std::uint64_t complete = 0; ///< Jobs.
        std::uint64_t refused = 0; ///< Jobs.
        std::uint64_t failed = 0; ///< Jobs.
    };

    /** @param setup sizes and times of the run */
    explicit sim_stats(const sim_setup &setup);

    /** @return whether an instant lies after the warm-up and before the end */
    bool isMeasured(mono_time when) const;

    /** Records the answer to a complete job at its caller. */
    void recordComplete(const sim_job &job, mono_time answered);

    /** Records the result of a task. */
    void recordTask(const sim_job &job, std::size_t task, mono_time answered);

    /** Records a refusal and the time that the entry took for it. */
    void recordRefusal(const sim_job &job, std::chrono::nanoseconds taken);

    /** Records a start at an endpoint with the time that it uses the slot. */
    void recordRun(std::size_t entry, mono_time from, std::chrono::microseconds runTime);

    /** @return part of all slots that an entry used between two seconds of the run */
    double slotShare(std::size_t entry, std::size_t from, std::size_t to) const;

    /** @return goodput of all kinds over the capacity */
    double goodput() const;

    /** @return wasted messages per task */
    double wastedMessagesPerTask() const;

    /** @return hash over all results */
    std::uint64_t hash() const;

    std::array<kind_result, sim_setup::Kinds> kinds;
    std::vector<double> jobRatios; ///< Response over the ideal one.
    std::vector<double> taskRatios;
    std::vector<double> refusalTimes; ///< In seconds.
    std::uint64_t started = 0; ///< Tasks that ran.
    std::uint64_t wastedMessages = 0; ///< All beyond start and result, without heartbeats.
    std::uint64_t heldStarts = 0; ///< Starts that found no free slot.
    std::uint64_t declinedStarts = 0; ///< Starts answered as not started.
    double detectionSeconds = -1; ///< Seconds until the last entry excluded the failing worker; negative if one never did.
    std::uint64_t startsAfterDetection = 0; ///< Starts at all workers by entries that had excluded the failing one.
    std::uint64_t failingWorkerStartsAfterDetection = 0; ///< Of these the ones at the failing worker.

private:
    double idealSeconds(std::chrono::microseconds runTime) const;

    const sim_setup &m_setup;
    std::vector<std::vector<double>> m_busySeconds; ///< Seconds of slots by entry and second.
};

} // namespace teaselward
