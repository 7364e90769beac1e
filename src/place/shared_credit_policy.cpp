#include "place/shared_credit_policy.h"

#include <algorithm>
#include <cmath>

namespace teaselward
{

namespace
{

// Fraction of the free slots granted to each entry. With more, more starts collide; with less, entries know of too few slots.
constexpr double ToldPart = 0.7;

} // namespace

// The agent sends nothing to an entry without a task here, so such an entry always keeps its equal share, however busy the
// slots are. It can then resume at once after a pause, without a message.
std::int32_t shared_credit_policy::target(const credit_account &entry, const credit_totals &totals) const
{
    const std::int32_t equal = equalPart(totals);
    const auto told = static_cast<std::int32_t>(std::ceil(ToldPart * totals.free()));
    return std::max(told, equal - static_cast<std::int32_t>(entry.running + entry.held));
}

std::int32_t shared_credit_policy::equalPart(const credit_totals &totals) const
{
    const std::uint32_t entries = std::max(1U, totals.entries);
    return static_cast<std::int32_t>((totals.slots + entries - 1) / entries);
}

bool shared_credit_policy::rebalancesOnChange() const
{
    return false;
}

} // namespace teaselward
