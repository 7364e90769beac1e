#pragma once

#include <cstdint>

namespace teaselward
{

/** Which side opened a connection. */
enum class link_side : std::uint8_t {
    accepted, ///< The peer.
    dialed, ///< This process.
};

} // namespace teaselward
