#pragma once

#include "place/placement_strategy.h"

namespace teaselward
{

/** Baseline: chooses any endpoint that has a free slot by this entry's count. */
class random_strategy : public placement_strategy
{
public:
    std::uint32_t level(const endpoint_record &endpoint) const override;
    std::size_t choose(std::span<const endpoint_pool *const> pools, random_source &random, const load_probe &probe) const override;
};

} // namespace teaselward
