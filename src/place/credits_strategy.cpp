#include "place/credits_strategy.h"

#include "place/pool_choice.h"

#include <algorithm>

namespace teaselward
{

namespace
{

// Starts beyond the credits that high-priority kinds may have at one endpoint; they are held there for the next free slot.
constexpr std::int32_t MaxOverdraft = 2;

} // namespace

std::uint32_t credits_strategy::level(const endpoint_record &endpoint) const
{
    return static_cast<std::uint32_t>(std::max(0, endpoint.credits + MaxOverdraft));
}

std::uint32_t credits_strategy::reservedLevels() const
{
    return MaxOverdraft;
}

std::size_t credits_strategy::choose(std::span<const endpoint_pool *const> pools, random_source &random, const load_probe & /*probe*/) const
{
    return chooseFromHighest(pools, random);
}

} // namespace teaselward
