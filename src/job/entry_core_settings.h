#pragma once

#include "core/entry_info.h"

#include <chrono>
#include <cstdint>
#include <string>

namespace teaselward
{

/** Settings of entry_core, fixed at start. */
struct entry_core_settings {
    entry_info self;
    std::chrono::milliseconds ticketLifetime = std::chrono::minutes(10);
    std::chrono::milliseconds sessionLease = std::chrono::seconds(2); ///< After a longer pause of the decision thread all starts are revoked.
    /**
     * Maximum age of the evidence that the caller of a job waits here when a task is placed, and when its start is sent. The front end
     * checks the connections every 200 ms. The second limit, the lease of a session (600 ms), the interval of its check (50 ms) and the
     * time that a stop takes (50 ms) end a run before the caller may submit its job to another entry, 1300 ms after the connection broke.
     */
    std::chrono::milliseconds placeEvidenceLimit = std::chrono::milliseconds(450);
    std::chrono::milliseconds sendEvidenceLimit = std::chrono::milliseconds(550);
    std::chrono::milliseconds revokeRetryDelay = std::chrono::milliseconds(100); ///< First delay between two revocations of a task, and of other retries.
    /**
     * Time after which a run at a lost agent is known to have ended. The agent keeps a run for 600 ms after the last of its calls
     * that this entry answered, renews the lease for another 90 ms if its stops get no answer, and the lease ends after 663 ms at a slow clock.
     */
    std::chrono::milliseconds lostRunTimeout = std::chrono::milliseconds(1450);
    std::chrono::milliseconds usageReportInterval = std::chrono::seconds(1); ///< Interval between reports of the workspace quota usage to the other entries.
    std::chrono::milliseconds startupWait{}; ///< Time after the start in which jobs wait for endpoints that have not registered yet.
    std::uint32_t maxTicketsPerRequest = 1000; ///< Maximum number of tickets per request.
    std::string strategy = "credits"; ///< Name of the placement strategy.
    bool separateKinds = false; ///< Prefer different endpoints for kinds that agents report as slowing each other.
    std::uint64_t seed = 1; ///< Seed of the random number generator.
    std::uint32_t maxJobs = 64 * 1024; ///< Maximum number of running and answered jobs; further jobs are refused.
    std::uint64_t maxJobBytes = 12ULL * 1024 * 1024; ///< Maximum bytes of payloads and kept answers; further jobs are refused.
    std::chrono::milliseconds minAnswerRetention = std::chrono::seconds(30); ///< Time for which an answer is kept even if memory is full.
};

} // namespace teaselward
