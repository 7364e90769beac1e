#pragma once

#include <chrono>
#include <map>
#include <optional>

namespace teaselward
{

/** Keys of a section [zone NAME] after merging: the offsets of a local time from UTC. */
struct zone_section {
    std::optional<std::chrono::minutes> offset; ///< Before the first transition.

    /** Offset from each instant on; nothing if a later file withdrew the transition. */
    std::map<std::chrono::sys_seconds, std::optional<std::chrono::minutes>> transitions;
};

} // namespace teaselward
