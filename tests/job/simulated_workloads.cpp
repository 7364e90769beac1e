#include "job/simulated_workloads.h"

namespace teaselward
{

using namespace std::chrono_literals;

std::vector<simulated_kind> baselineKinds()
{
    return {
        {.name = "eligibility", .priority = 0, .jobsPerSecond = 34.4, .tasks = 8, .work = 60ms},
        {.name = "order", .priority = 2, .jobsPerSecond = 6.25, .tasks = 4, .work = 900ms},
        {.name = "lookup", .priority = 1, .jobsPerSecond = 100, .tasks = 2, .work = 200ms},
    };
}

std::vector<simulated_kind> scaledKinds()
{
    return {
        {.name = "eligibility", .priority = 0, .jobsPerSecond = 206, .tasks = 8, .work = 60ms},
        {.name = "order", .priority = 2, .jobsPerSecond = 37.5, .tasks = 4, .work = 900ms},
        {.name = "lookup", .priority = 1, .jobsPerSecond = 600, .tasks = 2, .work = 200ms},
    };
}

} // namespace teaselward
