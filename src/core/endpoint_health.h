#pragma once

#include <cstdint>

namespace teaselward
{

/** Health of an endpoint from the view of one entry. */
enum class endpoint_health : std::uint8_t {
    healthy, ///< Receives tasks.
    saturated, ///< Connected, but currently refuses tasks.
    failing, ///< Its tasks fail; it receives only single probe tasks.
    leaving, ///< Announced that it stops.
    lost, ///< Not connected.
    evacuated, ///< Connected, but the operators have evacuated its failure domain.
};

} // namespace teaselward
