#pragma once

#include "place/credits_strategy.h"

namespace teaselward
{

/**
 * Chooses a speed class first and then, like credits_strategy, an endpoint with the most slot credits in it. Without a difference between
 * the classes of the endpoints both choose alike.
 */
class speed_strategy : public credits_strategy
{
public:
    bool usesSpeed() const override
    {
        return true;
    }

    void narrow(std::vector<const endpoint_pool *> &pools, double maxFactor) const override;
};

} // namespace teaselward
