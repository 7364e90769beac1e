#pragma once

#include <chrono>
#include <cstdint>
#include <string>

namespace teaselward
{

/** Rules for one kind of jobs. */
struct kind_rule {
    std::string service;
    double weight = 1.0; ///< Share relative to the other kinds.
    double floor = 0.0; ///< Fraction of all slots that is guaranteed to the kind while it has work, from 0 to 1.
    bool idempotent = false;
    std::chrono::milliseconds timeLimit = std::chrono::seconds(10); ///< Default time limit of a job.
    std::uint32_t queueLimit = 4096; ///< Maximum number of tasks queued at one entry.
    std::uint32_t taskLimit = 210; ///< Maximum number of tasks in one job.
    bool placedByService = false; ///< Agents offer the service of the kind instead of the kind itself.
    bool restartable = false; ///< A task may be started again if it failed or its run has certainly ended.
    double stretch = 0; ///< Response time objective as a multiple of the run time of the longest task; zero without an objective.
    std::chrono::milliseconds target{}; ///< Constant part of the response time objective.
    bool highPriority = false; ///< Its tasks may use the capacity that endpoints keep free of other kinds.
    std::uint32_t attempts = 1; ///< Number of failed runs of a restartable task after which its job fails.
};

} // namespace teaselward
