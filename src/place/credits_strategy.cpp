#include "place/credits_strategy.h"

#include "place/pool_choice.h"

namespace teaselward
{

std::uint32_t credits_strategy::level(const endpoint_record &endpoint) const
{
    return endpoint.credits > 0 ? static_cast<std::uint32_t>(endpoint.credits) : 0;
}

std::size_t credits_strategy::choose(std::span<const endpoint_pool *const> pools, random_source &random, const load_probe & /*probe*/) const
{
    return drawHighest(pools, random);
}

} // namespace teaselward
