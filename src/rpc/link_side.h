#pragma once

#include <cstdint>

namespace teaselward
{

/** Side of a connection that this process is on. */
enum class link_side : std::uint8_t {
    accepted, ///< The peer opened the connection.
    dialed, ///< This process opened the connection.
};

} // namespace teaselward
