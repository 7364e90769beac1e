#pragma once

#include "place/endpoint_record.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <string>
#include <vector>

namespace teaselward
{

/**
 * Index of the placeable endpoints that offer the same kinds in the same failure domain, ordered by level. Each operation
 * takes constant time, whatever the number of endpoints.
 */
class endpoint_pool
{
public:
    static constexpr std::uint32_t MaxLevel = 64; ///< Higher levels are not told apart.

    std::vector<std::string> kinds; ///< Sorted.
    std::string failureDomain;

    /**
     * Moves an endpoint to a level.
     * @param records all endpoints
     * @param index position of the endpoint among them
     * @param level new level; zero takes the endpoint out of the index
     */
    void setLevel(std::deque<endpoint_record> &records, std::size_t index, std::uint32_t level);

    /** @return highest level that has an endpoint, or zero */
    std::uint32_t highest() const
    {
        return m_highest;
    }

    /** @return endpoints of a level as positions among all endpoints */
    const std::vector<std::size_t> &at(std::uint32_t level) const
    {
        return m_levels[level];
    }

private:
    std::array<std::vector<std::size_t>, MaxLevel + 1> m_levels;
    std::uint32_t m_highest = 0;
};

} // namespace teaselward
