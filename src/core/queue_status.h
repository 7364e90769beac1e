#pragma once

#include <cstdint>
#include <string>

namespace teaselward
{

/** Status of the queue of one kind and team, shown to operators. */
struct queue_status {
    std::string kind;
    std::string team;
    std::uint32_t queued = 0;
    std::uint32_t started = 0;
    std::uint64_t admitted = 0; ///< Tasks since the start of the process.
    std::uint64_t refused = 0; ///< Tasks since the start of the process.
};

} // namespace teaselward
