#include "place/least_outstanding_strategy.h"

#include "place/pool_choice.h"

namespace teaselward
{

std::uint32_t least_outstanding_strategy::level(const endpoint_record &endpoint) const
{
    return endpoint.outstanding < endpoint.info.slots ? endpoint.info.slots - endpoint.outstanding : 0;
}

std::size_t least_outstanding_strategy::choose(std::span<const endpoint_pool *const> pools, random_source &random, const load_probe & /*probe*/) const
{
    return chooseFromHighest(pools, random);
}

} // namespace teaselward
