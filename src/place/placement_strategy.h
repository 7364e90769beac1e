#pragma once

#include "place/endpoint_pool.h"
#include "place/endpoint_record.h"
#include "place/random_source.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <span>

namespace teaselward
{

/** Choice of an endpoint for a task. */
class placement_strategy
{
public:
    /** Asks an endpoint, given as its position among all endpoints, for its running and waiting tasks. */
    using load_probe = std::function<std::uint32_t(std::size_t index)>;

    virtual ~placement_strategy() = default;

    /**
     * Ranks an endpoint that is fit for work.
     * @param endpoint the endpoint
     * @return level in the index; zero if it must get no further task
     */
    virtual std::uint32_t level(const endpoint_record &endpoint) const = 0;

    /** @return levels up to this one are for the kinds that come first */
    virtual std::uint32_t reservedLevels() const
    {
        return 0;
    }

    /**
     * Chooses an endpoint.
     * @param pools pools that have a placeable endpoint; not empty
     * @param random source of random numbers
     * @param probe asks for the load of an endpoint
     * @return position of the endpoint among all endpoints
     */
    virtual std::size_t choose(std::span<const endpoint_pool *const> pools, random_source &random, const load_probe &probe) const = 0;
};

} // namespace teaselward
