#pragma once

#include "place/credit_policy.h"

namespace teaselward
{

/** Grants each entry most of the free slots. A start that finds its slot taken is held at the agent until a task ends. */
class shared_credit_policy : public credit_policy
{
public:
    std::int32_t target(const credit_account &entry, const credit_totals &totals) const override;
    bool rebalancesOnChange() const override;

protected:
    /** @return credits that each entry keeps however busy the endpoint is; at least one */
    virtual std::int32_t equalShare(const credit_totals &totals) const;
};

} // namespace teaselward
