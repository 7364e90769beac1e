#pragma once

#include <cstdint>

namespace teaselward
{

/** Health of an endpoint as one entry sees it. */
enum class endpoint_health : std::uint8_t {
    healthy, ///< Gets work.
    saturated, ///< Connected, but refuses work at present.
    failing, ///< Fails what it starts; probed with single tasks.
    leaving, ///< Announced that it stops.
    lost, ///< Not connected.
};

} // namespace teaselward
