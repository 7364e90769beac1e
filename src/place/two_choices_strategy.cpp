#include "place/two_choices_strategy.h"

#include "place/pool_choice.h"

namespace teaselward
{

std::uint32_t two_choices_strategy::level(const endpoint_record &endpoint) const
{
    return endpoint.outstanding < endpoint.info.slots ? 1 : 0;
}

// Each probe costs two messages.
std::size_t two_choices_strategy::choose(std::span<const endpoint_pool *const> pools, random_source &random, const load_probe &probe) const
{
    const std::size_t first = chooseFromHighest(pools, random);
    const std::size_t second = chooseFromHighest(pools, random);
    return probe(second) < probe(first) ? second : first;
}

} // namespace teaselward
