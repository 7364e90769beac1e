#pragma once

#include <cstdint>

namespace teaselward
{

/** State of a simulated endpoint. */
enum class endpoint_state : std::uint8_t {
    up,
    crashed, ///< Its agent has not detected the crash yet.
    down, ///< Its agent has detected the crash.
};

} // namespace teaselward
