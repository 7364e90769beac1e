#include "place/shared_credit_policy.h"

#include <algorithm>

namespace teaselward
{

namespace
{

// An entry without a task here hears nothing from the agent, so it keeps one credit with which it can always come back.
constexpr std::int32_t LeastPerEntry = 1;

} // namespace

std::int32_t shared_credit_policy::target(const credit_account &entry, const credit_totals &totals) const
{
    return std::max(totals.free(), LeastPerEntry - static_cast<std::int32_t>(entry.running + entry.held));
}

std::int32_t shared_credit_policy::urgentGrant(const credit_account & /*entry*/, const credit_totals & /*totals*/) const
{
    return 0;
}

bool shared_credit_policy::redividesOnChange() const
{
    return false;
}

} // namespace teaselward
