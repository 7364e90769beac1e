#pragma once

#include <chrono>
#include <cstdint>
#include <string>

namespace teaselward
{

/** Way of callers to a kind of requests. */
struct route {
    std::string kind; ///< Name of the kind; unique among the routes.
    std::string host;
    std::string pathPrefix;
    std::string service; ///< Service whose endpoints run the tasks.
    std::chrono::milliseconds timeLimit{}; ///< Deadline of a job that names none.
    std::chrono::milliseconds target{}; ///< Part of the response objective that does not depend on the run time.
    double stretch = 1; ///< Part of the response objective in run times of the longest chain of tasks.
    std::uint32_t priority = 0; ///< Zero comes first.
    std::uint32_t attempts = 1; ///< Runs of a task that may fail before its job fails.
};

} // namespace teaselward
