#include "place/scarce_credit_policy.h"

#include <algorithm>

namespace teaselward
{

std::int32_t scarce_credit_policy::equalShare(const credit_totals &totals) const
{
    return static_cast<std::int32_t>(totals.slots / std::max(1U, totals.entries));
}

} // namespace teaselward
