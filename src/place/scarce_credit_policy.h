#pragma once

#include "place/shared_credit_policy.h"

namespace teaselward
{

/**
 * Like shared_credit_policy, but with the equal share rounded down, so that the credits of all entries together do not exceed
 * the slots of a busy endpoint. An entry without a credit is granted the next slot that becomes free. With the share
 * rounded up, floods through more entries than an endpoint has slots cause starts that wait at the endpoint and are refused.
 */
class scarce_credit_policy : public shared_credit_policy
{
protected:
    std::int32_t equalShare(const credit_totals &totals) const override;
};

} // namespace teaselward
