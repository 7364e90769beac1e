#include "place/random_strategy.h"

#include "place/pool_choice.h"

namespace teaselward
{

std::uint32_t random_strategy::level(const endpoint_record &endpoint) const
{
    return endpoint.outstanding < endpoint.info.slots ? 1 : 0;
}

// All available endpoints are at one level, so the choice is over all of them.
std::size_t random_strategy::choose(std::span<const endpoint_pool *const> pools, random_source &random, const load_probe & /*probe*/) const
{
    return chooseFromHighest(pools, random);
}

} // namespace teaselward
