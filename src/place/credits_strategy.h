#pragma once

#include "place/placement_strategy.h"

namespace teaselward
{

/** Chooses an endpoint with the most slot credits. */
class credits_strategy : public placement_strategy
{
public:
    std::uint32_t level(const endpoint_record &endpoint) const override;
    std::uint32_t reservedLevels() const override;
    std::size_t choose(std::span<const endpoint_pool *const> pools, random_source &random, const load_probe &probe) const override;
};

} // namespace teaselward
