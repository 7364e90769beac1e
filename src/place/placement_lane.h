#pragma once

#include <cstddef>
#include <cstdint>

namespace teaselward
{

/** Group of endpoints that a task may use. Without a quarantined kind, all endpoints are shared. */
enum class placement_lane : std::uint8_t {
    shared, ///< For tasks of all kinds that are not quarantined.
    isolated, ///< For tasks of quarantined kinds.
    suspect, ///< For tasks of quarantined kinds under which an endpoint has crashed.
};

/** Number of lanes. */
constexpr std::size_t PlacementLanes = 3;

} // namespace teaselward
