#pragma once

#include <cstdint>

namespace teaselward
{

/** Required format of the text of a setting. */
enum class setting_format : std::uint8_t {
    text, ///< Any text.
    address, ///< IP:PORT.
    addresses, ///< List of IP:PORT, separated by commas.
    names, ///< Words, separated by commas.
    duration, ///< Number with unit, such as 500ms, 10s, 2m or 24h.
    number, ///< Integer.
    flag, ///< yes or no.
};

} // namespace teaselward
