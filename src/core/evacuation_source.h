#pragma once

#include <cstdint>

namespace teaselward
{

/** Source from which a process has the state of the evacuations. */
enum class evacuation_source : std::uint8_t {
    store, ///< The operators' records.
    copy, ///< A copy that an entry has stored. It may be old.
    entry, ///< Another entry.
    agent, ///< An agent that refused a start.
};

} // namespace teaselward
