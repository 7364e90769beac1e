#pragma once

#include <cstdint>

namespace teaselward
{

/** Effect of a state of the evacuations on the known one. */
enum class evacuation_merge : std::uint8_t {
    older, ///< The state has a lower offset and is ignored.
    known, ///< Nothing is new.
    advanced, ///< The offset has increased, the failure domains are the same.
    changed, ///< The failure domains have changed.
};

} // namespace teaselward
