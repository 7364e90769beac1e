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

/** Statistics of one simulated run. */
class sim_stats
{
public:
    /** Statistics of one kind. */
    struct kind_result {
        std::vector<double> responses; ///< Response times of complete jobs in seconds.
        std::vector<double> ratios; ///< Response time over ideal response time of complete jobs.
        double goodput = 0; ///< Total run time of the tasks of complete jobs in seconds.
        std::uint64_t offered = 0; ///< Submitted jobs.
        std::uint64_t complete = 0; ///< Jobs whose tasks all succeeded.
        std::uint64_t refused = 0; ///< Jobs that were not admitted.
        std::uint64_t failed = 0; ///< Jobs that were admitted and failed.
    };

    /** @param setup parameters of the run; must outlive the statistics */
    explicit sim_stats(const sim_setup &setup);

    /** @return true for a time after the warm-up and before the end of the run */
    bool isMeasured(mono_time when) const;

    /** Records a complete job, whose answer reaches its caller at the given time. */
    void recordComplete(const sim_job &job, mono_time answered);

    /** Records a successful task, whose result reaches the caller at the given time. */
    void recordTask(const sim_job &job, std::size_t task, mono_time answered);

    /** Records a refused job and the time from its arrival at the entry to the refusal. */
    void recordRefusal(const sim_job &job, std::chrono::nanoseconds taken);

    /** Records that a task of an entry occupies a slot for its run time. */
    void recordRun(std::size_t entry, mono_time from, std::chrono::microseconds runTime);

    /** @return fraction of all slots that an entry used between two seconds of the run, the second one excluded */
    double slotShare(std::size_t entry, std::size_t from, std::size_t to) const;

    /** @return goodput of all kinds as a fraction of the capacity */
    double goodput() const;

    /** @return wasted messages per started task */
    double wastedMessagesPerTask() const;

    /** @return hash over the results, for the signature of the benchmark */
    std::uint64_t hash() const;

    std::array<kind_result, sim_setup::Kinds> kinds;
    std::vector<double> jobRatios; ///< Response time over ideal response time of complete jobs.
    std::vector<double> taskRatios; ///< Response time over ideal response time of successful tasks.
    std::vector<double> refusalTimes; ///< Seconds from the arrival of a refused job to its refusal.
    std::uint64_t started = 0; ///< Tasks that occupied a slot.
    std::uint64_t wastedMessages = 0; ///< Messages beyond one start and one result per task, without heartbeats.
    std::uint64_t heldStarts = 0; ///< Starts held at an agent because no slot was free.
    std::uint64_t declinedStarts = 0; ///< Starts answered as not started.
    double detectionSeconds = -1; ///< Seconds from the fault until the last entry excluded the failing worker; negative if any entry never did.
    std::uint64_t startsAfterDetection = 0; ///< Starts sent to any worker by entries that had excluded the failing worker.
    std::uint64_t failingWorkerStartsAfterDetection = 0; ///< Those of startsAfterDetection that went to the failing worker.

private:
    double idealSeconds(std::chrono::microseconds runTime) const;

    const sim_setup &m_setup;
    std::vector<std::vector<double>> m_busySeconds; ///< Slot seconds used by each entry in each second of the run.
};

} // namespace teaselward
