#pragma once

#include <cstdint>

namespace teaselward
{

/** Effect of an endpoint announcement. */
enum class announcement_effect : std::uint8_t {
    unchanged, ///< Nothing has changed, or the announcement is outdated.
    adopt, ///< A new instance of the endpoint must be adopted; an earlier one has ended.
    drain, ///< The endpoint has started to drain.
    retime, ///< The served instance has announced a remaining time or a warm-up time, or no longer announces a warm-up.
    resize, ///< The capacity of the adopted instance has changed.
};

} // namespace teaselward
