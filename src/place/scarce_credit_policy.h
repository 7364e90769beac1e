#pragma once

#include "place/shared_credit_policy.h"

namespace teaselward
{

/**
 * As shared_credit_policy, but with the equal part rounded down, so that the credits of all entries together do not exceed the slots
 * of a busy endpoint. An entry without a credit is told of the next slot that becomes free. Answers floods through more entries than an
 * endpoint has slots, whose starts would wait at the endpoint and be refused.
 */
class scarce_credit_policy : public shared_credit_policy
{
protected:
    std::int32_t equalPart(const credit_totals &totals) const override;
};

} // namespace teaselward
