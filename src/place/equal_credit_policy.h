#pragma once

#include "place/credit_policy.h"

namespace teaselward
{

/** Baseline: every entry has the same fixed share of the slots. */
class equal_credit_policy : public credit_policy
{
public:
    std::int32_t target(const credit_account &entry, const credit_totals &totals) const override;
    bool rebalancesOnChange() const override;
};

} // namespace teaselward
