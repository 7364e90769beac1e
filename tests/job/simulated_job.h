#pragma once

#include "base/clock.h"
#include "job/simulated_result.h"
#include "job/simulated_task.h"

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace teaselward
{

/** Job of the simulated workload and its outcome. */
struct simulated_job {
    std::string kind;
    mono_time arrival{};
    std::chrono::microseconds objective{};
    std::uint32_t cpuMillis = 0; ///< Processors that each task needs, in thousandths.
    std::vector<simulated_task> tasks;
    bool isDeadly = false; ///< One of its tasks is deadly.
    bool hasStarted = false; ///< An endpoint has started one of its tasks.
    double wasted = 0; ///< Processor seconds of its runs that were stopped.
    simulated_result result = simulated_result::none;
    std::chrono::microseconds took{}; ///< Time until the answer.
    bool isRefusedWithRoom = false; ///< All its tasks would have fitted into free processors of the endpoints.
    bool isFailedEarly = false; ///< Failed before its deadline although no task had lost three runs with crashed endpoints.
};

} // namespace teaselward
