#pragma once

#include "place/endpoint_record.h"
#include "place/placement_group.h"
#include "place/placement_lane.h"
#include "place/speed_class.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <string>
#include <vector>

namespace teaselward
{

/**
 * Index of the available endpoints that offer the same kinds in the same failure domain, lane, speed class and group, ordered by level. The level is
 * the rank that placement_strategy::level() gives an endpoint. Each operation takes constant time, whatever the number of
 * endpoints.
 */
class endpoint_pool
{
public:
    static constexpr std::uint32_t MaxLevel = 64; ///< Higher levels are treated as this one.

    std::vector<std::string> kinds; ///< Sorted.
    std::string failureDomain;
    placement_lane lane = placement_lane::shared;
    bool isEvacuated = false; ///< The operators have evacuated the failure domain, so its endpoints get no starts.
    std::size_t speedClass = UsualSpeedClass;
    double runTimeFactor = 1; ///< Mean factor of the speed class, as reported by the agents.
    std::uint32_t slots = 0; ///< Largest number of slots of an endpoint.
    placement_group group = placement_group::first;

    /**
     * Moves an endpoint to a level.
     * @param records all endpoints
     * @param index index of the endpoint in records
     * @param level new level; zero removes the endpoint from the index
     */
    void setLevel(std::deque<endpoint_record> &records, std::size_t index, std::uint32_t level);

    /** @return highest level that has an endpoint; zero if there is none */
    std::uint32_t highest() const
    {
        return m_highest;
    }

    /** @return indexes of the endpoints of a level */
    const std::vector<std::size_t> &at(std::uint32_t level) const
    {
        return m_levels[level];
    }

private:
    std::array<std::vector<std::size_t>, MaxLevel + 1> m_levels; ///< Indexes of the endpoints, by level.
    std::uint32_t m_highest = 0;
};

} // namespace teaselward
