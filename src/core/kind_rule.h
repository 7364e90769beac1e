#pragma once

#include <chrono>
#include <cstdint>
#include <string>

namespace teaselward
{

/** Rules for one kind. A kind is a class of tasks with common rules. */
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
    /**
     * Factor of the response time objective of a job: its response time should not exceed stretch times the expected run time of
     * its longest task, plus target. Zero means that the kind has no objective.
     */
    double stretch = 0;
    std::chrono::milliseconds target{}; ///< Constant part of the response time objective.
    bool highPriority = false; ///< Its tasks may use the capacity that endpoints keep free of other kinds.
    std::uint32_t attempts = 1; ///< Number of failed runs of a restartable task after which its job fails.
};

} // namespace teaselward
