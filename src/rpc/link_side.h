#pragma once

#include <cstdint>

namespace teaselward
{

/** How a connection was opened. */
enum class link_side : std::uint8_t {
    accepted, ///< By the peer.
    dialed, ///< By this process.
};

} // namespace teaselward
