#pragma once

#include "place/credit_account.h"
#include "place/credit_totals.h"

#include <cstdint>

namespace teaselward
{

/** Rule by which an agent divides its slots among the entries. */
class credit_policy
{
public:
    virtual ~credit_policy() = default;

    /**
     * Returns the credits that an entry should hold. The difference from its current credits is sent with the next outcome and
     * costs no message.
     * @param entry the entry
     * @param totals totals over all entries
     */
    virtual std::int32_t target(const credit_account &entry, const credit_totals &totals) const = 0;

    /** @return whether the credits of all entries are adjusted at once when an entry joins or is lost */
    virtual bool rebalancesOnChange() const = 0;
};

} // namespace teaselward
