#pragma once

#include <chrono>
#include <cstdint>
#include <string>

namespace teaselward
{

/** Maps requests with a host and a path prefix to a kind. */
struct route {
    std::string kind; ///< Name of the kind; unique among the routes.
    std::string host;
    std::string pathPrefix;
    std::string service; ///< Service whose endpoints run the tasks.
    std::chrono::milliseconds timeLimit{}; ///< Default time limit of a job.
    std::chrono::milliseconds target{}; ///< Constant part of the response time objective.
    double stretch = 1; ///< Part of the response time objective that is a multiple of the run time of the longest chain of tasks.
    std::uint32_t priority = 0; ///< Zero is the highest priority.
    std::uint32_t attempts = 1; ///< Number of failed runs of a task after which its job fails.
};

} // namespace teaselward
