#include "place/equal_credit_policy.h"

#include <algorithm>

namespace teaselward
{

std::int32_t equal_credit_policy::target(const credit_account &entry, const credit_totals &totals) const
{
    const std::uint32_t share = std::max(1U, totals.slots / std::max(1U, totals.entries));
    return std::max<std::int32_t>(0, static_cast<std::int32_t>(share) - static_cast<std::int32_t>(entry.running + entry.held));
}

bool equal_credit_policy::rebalancesOnChange() const
{
    return true;
}

} // namespace teaselward
