#pragma once

#include "place/placement_lane.h"

#include <array>
#include <cstddef>
#include <vector>

namespace teaselward
{

/** State of one kind over all endpoints. */
struct kind_record {
    std::vector<std::size_t> pools; ///< Pools whose endpoints offer the kind.
    std::array<std::size_t, PlacementLanes> slots{}; ///< By lane: slots of the connected endpoints that offer the kind, free or not.
    double failureSum = 0; ///< Sum of the failure ratios of the endpoints that have run the kind.
    std::size_t reporting = 0; ///< Number of endpoints that have run the kind.
    double logRunTime = 0; ///< Moving average of the logarithm of the run time in microseconds.
    std::size_t runs = 0; ///< Number of outcomes in logRunTime.
};

} // namespace teaselward
