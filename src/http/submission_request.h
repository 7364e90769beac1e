#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace teaselward
{

/** Body of a submission. */
struct submission_request {
    std::string ticket; ///< Encoded ticket.
    std::string team;
    std::string kind;
    std::uint64_t timeLimitMs = 0; ///< Zero for the time limit of the kind.
    std::vector<std::string> tasks; ///< One payload for each task.
    std::string key;
    bool firstAttempt = false; ///< The caller states that it has not submitted this ticket before.
};

} // namespace teaselward
