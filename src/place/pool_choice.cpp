#include "place/pool_choice.h"

#include <algorithm>
#include <cstdint>

namespace teaselward
{

// Two passes over the few pools: the first finds the highest level, the second the chosen endpoint.
std::size_t chooseFromHighest(std::span<const endpoint_pool *const> pools, random_source &random)
{
    std::uint32_t highest = 0;
    std::size_t count = 0;
    for (const endpoint_pool *pool : pools) {
        if (pool->highest() > highest) {
            highest = pool->highest();
            count = 0;
        }
        count += pool->highest() == highest ? pool->at(highest).size() : 0;
    }
    std::size_t chosen = random.below(count);
    for (const endpoint_pool *pool : pools) {
        const auto &members = pool->at(highest);
        if (chosen < members.size()) {
            return members[chosen];
        }
        chosen -= members.size();
    }
    return pools.front()->at(pools.front()->highest()).front();
}

} // namespace teaselward
