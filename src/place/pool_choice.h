#pragma once

#include "place/endpoint_pool.h"
#include "place/random_source.h"

#include <cstddef>
#include <span>

namespace teaselward
{

/**
 * Chooses at random among the endpoints of the highest level of all pools. Randomness keeps entries with the same view from
 * choosing the same endpoint, and spreads load over the failure domains.
 * @param pools pools with at least one available endpoint; not empty
 * @param random source of random numbers
 * @return index of the endpoint
 */
std::size_t chooseFromHighest(std::span<const endpoint_pool *const> pools, random_source &random);

} // namespace teaselward
