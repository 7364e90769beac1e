#include "sim/sim_central.h"

#include "sim/sim_workload.h"

#include <algorithm>
#include <functional>
#include <queue>
#include <vector>

namespace teaselward
{

// The queue is FIFO, so each task starts when it arrives or when the first slot becomes free, whichever is later.
sim_stats runCentralQueue(const sim_setup &setup)
{
    sim_stats stats(setup);
    std::priority_queue<mono_time, std::vector<mono_time>, std::greater<>> free;
    for (std::size_t slot = 0; slot < setup.workers * setup.slots; ++slot) {
        free.emplace();
    }
    for (const sim_job &job : sim_workload(setup).jobs()) {
        mono_time last{};
        for (std::size_t task = 0; task < job.runTimes.size(); ++task) {
            const mono_time start = std::max(job.sent + setup.callerLatency, free.top());
            free.pop();
            const mono_time end = start + job.runTimes[task];
            free.push(end);
            stats.recordRun(job.entry, start, job.runTimes[task]);
            stats.recordTask(job, task, end + setup.callerLatency);
            last = std::max(last, end);
        }
        stats.recordComplete(job, last + setup.callerLatency);
    }
    return stats;
}

} // namespace teaselward
