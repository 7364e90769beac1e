#pragma once

#include <chrono>
#include <cstdint>
#include <string>

namespace teaselward
{

/** Rules for one kind of requests. */
struct kind_rule {
    std::string service;
    double weight = 1.0; ///< Share relative to the other kinds.
    double floor = 0.0; ///< Part of all slots that the kind gets whenever it has work, from 0 to 1.
    bool idempotent = false;
    std::chrono::milliseconds timeLimit = std::chrono::seconds(10); ///< Deadline of a job without one of its own.
    std::uint32_t queueLimit = 4096; ///< Tasks queued at one entry.
    std::uint32_t taskLimit = 210; ///< Tasks of one job.
    bool placedByService = false; ///< Agents offer the service of the kind instead of the kind itself.
    bool restartable = false; ///< A task that failed, or whose run has certainly ended, may be started again.
    double stretch = 0; ///< Objective of a job in run times of its longest task; zero if the kind has no objective.
    std::chrono::milliseconds target{}; ///< Part of the objective that does not depend on the run time.
    bool highPriority = false; ///< Its tasks may use what endpoints keep free of other kinds.
    std::uint32_t attempts = 1; ///< Runs of a restartable task that may fail before its job fails.
};

} // namespace teaselward
