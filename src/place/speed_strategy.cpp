#include "place/speed_strategy.h"

#include "place/speed_class.h"

#include <algorithm>
#include <array>
#include <cstdint>
#include <functional>
#include <optional>

namespace teaselward
{

namespace
{

// Part of the slots of an endpoint that must be free for its class to have plenty of room. Tasks that a slower endpoint serves in time leave
// the rest to longer ones; a larger part makes more starts meet at the few slow endpoints.
constexpr double PlentyFraction = 0.25;

// Part of the time until the objective that a run may be expected to take. The rest covers the error of the factor (0.06), the spread of the run
// times within a job (0.15), and a start that the agent holds until a slot is free. With 0.92, 14 of 547 long jobs were
// late at 75 % load, with 0.8 nine.
constexpr double UsableFraction = 0.8;

/** Endpoints of one class among the candidates. */
struct class_room {
    std::int64_t credits = 0; ///< Credits at the endpoint with the most; negative if it has only starts beyond its credits left.
    bool hasPlenty = false;
    double factor = 1;
};

using class_order = std::array<std::size_t, SpeedClasses>;

constexpr class_order FastestFirst = {0, 1, 2, 3, 4};
constexpr class_order SlowestFirst = {4, 3, 2, 1, 0};

using class_rooms = std::array<std::optional<class_room>, SpeedClasses>;

class_rooms roomsOf(const std::vector<const endpoint_pool *> &pools, std::uint32_t reservedLevels)
{
    class_rooms rooms;
    for (const endpoint_pool *pool : pools) {
        auto &room = rooms.at(pool->speedClass);
        const std::int64_t credits = static_cast<std::int64_t>(pool->highest()) - reservedLevels;
        if (!room || credits > room->credits) {
            room = class_room{.credits = credits, .hasPlenty = room && room->hasPlenty, .factor = pool->runTimeFactor};
        }
        room->hasPlenty = room->hasPlenty || static_cast<double>(credits) >= PlentyFraction * pool->slots;
    }
    return rooms;
}

// Returns the class for a start beyond the credits, which waits at the agent: the one with the fewest such starts, adequate if possible. Of
// two equal ones the faster, since it frees its slots sooner.
std::size_t leastOverdrawn(const class_rooms &rooms, const std::function<bool(const class_room &)> &isAdequate)
{
    std::size_t best = SpeedClasses;
    for (std::size_t index = 0; index < SpeedClasses; ++index) {
        const auto &room = rooms.at(index);
        if (!room) {
            continue;
        }
        const bool isFirst = best == SpeedClasses;
        const bool isBetterKind = !isFirst && isAdequate(*room) && !isAdequate(*rooms.at(best));
        const bool isSameKind = !isFirst && isAdequate(*room) == isAdequate(*rooms.at(best));
        if (isFirst || isBetterKind || (isSameKind && room->credits > rooms.at(best)->credits)) {
            best = index;
        }
    }
    return best;
}

// Returns the class to use; the classes are ordered from the fastest.
std::size_t chooseClass(const class_rooms &rooms, double maxFactor)
{
    const auto isAdequate = [maxFactor](const class_room &room) {
        return room.factor <= UsableFraction * maxFactor;
    };
    const auto find = [&rooms](const class_order &order, auto &&matches) -> std::optional<std::size_t> {
        for (const std::size_t index : order) {
            if (rooms.at(index) && matches(*rooms.at(index))) {
                return index;
            }
        }
        return std::nullopt;
    };
    // While there is plenty of room, the fastest endpoints give the shortest response time.
    auto found = find(FastestFirst, [&](const class_room &room) {
        return isAdequate(room) && room.hasPlenty;
    });
    if (!found) {
        found = find(SlowestFirst, [&](const class_room &room) {
            return isAdequate(room) && room.credits > 0;
        });
    }
    // Late is better than refused.
    if (!found) {
        found = find(FastestFirst, [](const class_room &room) {
            return room.credits > 0;
        });
    }
    return found ? *found : leastOverdrawn(rooms, isAdequate);
}

} // namespace

void speed_strategy::narrow(std::vector<const endpoint_pool *> &pools, double maxFactor) const
{
    const auto isOther = [&pools](const endpoint_pool *pool) {
        return pool->speedClass != pools.front()->speedClass;
    };
    if (std::ranges::none_of(pools, isOther)) {
        return;
    }
    const std::size_t chosen = chooseClass(roomsOf(pools, reservedLevels()), maxFactor);
    std::erase_if(pools, [chosen](const endpoint_pool *pool) {
        return pool->speedClass != chosen;
    });
}

} // namespace teaselward
