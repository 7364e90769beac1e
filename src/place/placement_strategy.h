#pragma once

#include "place/endpoint_pool.h"
#include "place/endpoint_record.h"
#include "place/random_source.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <span>
#include <vector>

namespace teaselward
{

/** Strategy that chooses an endpoint for a task. */
class placement_strategy
{
public:
    /** Queries the number of running and waiting tasks of an endpoint, given by its index. */
    using load_probe = std::function<std::uint32_t(std::size_t index)>;

    virtual ~placement_strategy() = default;

    /**
     * Ranks an endpoint that is available for tasks.
     * @param endpoint the endpoint
     * @return level in the index; zero if it must get no more tasks
     */
    virtual std::uint32_t level(const endpoint_record &endpoint) const = 0;

    /** @return highest level that is reserved for high-priority kinds */
    virtual std::uint32_t reservedLevels() const
    {
        return 0;
    }

    /** @return whether endpoints of different speed classes are kept in different pools */
    virtual bool usesSpeed() const
    {
        return false;
    }

    /**
     * Removes the pools that a task should not use.
     * @param pools pools with at least one available endpoint; not empty, and not empty afterwards
     * @param maxFactor largest run time factor at which the task is served in time
     */
    virtual void narrow(std::vector<const endpoint_pool *> & /*pools*/, double /*maxFactor*/) const
    {
    }

    /**
     * Chooses an endpoint.
     * @param pools pools with at least one available endpoint; not empty
     * @param random source of random numbers
     * @param probe queries the load of an endpoint
     * @return index of the endpoint
     */
    virtual std::size_t choose(std::span<const endpoint_pool *const> pools, random_source &random, const load_probe &probe) const = 0;
};

} // namespace teaselward
