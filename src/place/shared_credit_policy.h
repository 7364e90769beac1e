#pragma once

#include "place/credit_policy.h"

namespace teaselward
{

/** Every entry is told all free slots; a start that finds its slot taken is held at the agent until a task ends. */
class shared_credit_policy : public credit_policy
{
public:
    std::int32_t target(const credit_account &entry, const credit_totals &totals) const override;
    bool redividesOnChange() const override;
};

} // namespace teaselward
