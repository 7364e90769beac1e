#pragma once

#include "place/endpoint_pool.h"
#include "place/random_source.h"

#include <cstddef>
#include <span>

namespace teaselward
{

/**
 * Draws among the endpoints of the highest level of all pools. Drawing avoids that several entries with the same view
 * choose the same endpoint, and spreads load over the failure domains.
 * @param pools pools that have a placeable endpoint; not empty
 * @param random source of random numbers
 * @return position of the endpoint among all endpoints
 */
std::size_t drawHighest(std::span<const endpoint_pool *const> pools, random_source &random);

} // namespace teaselward
