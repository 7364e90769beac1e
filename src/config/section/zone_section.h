#pragma once

#include <chrono>
#include <map>
#include <optional>

namespace teaselward
{

/** Merged keys of a section [zone NAME]: the offsets of a local time from UTC. */
struct zone_section {
    std::optional<std::chrono::minutes> offset; ///< Offset before the first transition.

    /** Offset from each time on; nothing if a later file removes the transition. */
    std::map<std::chrono::sys_seconds, std::optional<std::chrono::minutes>> transitions;
};

} // namespace teaselward
