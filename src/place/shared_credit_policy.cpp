#include "place/shared_credit_policy.h"

#include <algorithm>
#include <cmath>

namespace teaselward
{

namespace
{

// Fraction of the free slots granted to each entry. With more, more starts collide; with less, entries know of too few slots.
constexpr double GrantedFraction = 0.7;

} // namespace

// The agent sends nothing to an entry without a task here, so such an entry always keeps its equal share, however busy the
// slots are. It can then resume at once after a pause, without a message.
std::int32_t shared_credit_policy::target(const credit_account &entry, const credit_totals &totals) const
{
    const std::int32_t equal = equalShare(totals);
    const auto granted = static_cast<std::int32_t>(std::ceil(GrantedFraction * totals.free()));
    return std::max(granted, equal - static_cast<std::int32_t>(entry.running + entry.held));
}

std::int32_t shared_credit_policy::equalShare(const credit_totals &totals) const
{
    const std::uint32_t entries = std::max(1U, totals.entries);
    return static_cast<std::int32_t>((totals.slots + entries - 1) / entries);
}

bool shared_credit_policy::rebalancesOnChange() const
{
    return false;
}

} // namespace teaselward
