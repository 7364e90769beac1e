#pragma once

#include "core/entry_info.h"

#include <chrono>
#include <cstdint>
#include <string>

namespace teaselward
{

/** What the decisions of an entry are told at start. */
struct entry_core_settings {
    entry_info self;
    std::chrono::milliseconds ticketLifetime = std::chrono::minutes(10);
    std::chrono::milliseconds sessionLease = std::chrono::seconds(2); ///< A decision thread paused for longer revokes before it places again.
    std::chrono::milliseconds revokeRetryDelay = std::chrono::milliseconds(100); ///< First delay between two revocations of one task.
    std::chrono::milliseconds lostRunTimeout = std::chrono::milliseconds(1300); ///< A run at a lost agent has certainly ended after this time.
    std::chrono::milliseconds usageReportInterval = std::chrono::seconds(1); ///< Between two reports of the team quotas.
    std::uint32_t maxTicketsPerRequest = 1000; ///< Most tickets of one request.
    std::string strategy = "credits"; ///< Name in the table of placement strategies.
    std::uint64_t seed = 1; ///< Seed of the random numbers.
    std::uint32_t maxJobs = 64 * 1024; ///< Jobs running or kept; further ones are refused.
    std::uint64_t maxJobBytes = 12ULL * 1024 * 1024; ///< Size of all payloads and kept answers; further jobs are refused.
    std::chrono::milliseconds minAnswerRetention = std::chrono::seconds(30); ///< Time that an answer is kept even if the memory is full.
};

} // namespace teaselward
