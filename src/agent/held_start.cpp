#include "agent/held_start.h"

#include "place/credit_allocator.h"

#include <algorithm>

namespace teaselward
{

namespace
{

// Shorter holds give back starts that the next free slot would have taken.
constexpr std::chrono::milliseconds ShortestHold{40};

} // namespace

std::optional<mono_time> held_start::due() const
{
    return order.slack ? std::optional(since + *order.slack) : std::nullopt;
}

// A start that has become due here may still be in time elsewhere.
mono_time held_start::expiry() const
{
    const auto longest = credit_allocator::LongestHold;
    return since + (order.slack ? std::clamp(*order.slack, ShortestHold, longest) : longest);
}

} // namespace teaselward
