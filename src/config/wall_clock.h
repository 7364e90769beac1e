#pragma once

#include "base/clock.h"

namespace teaselward
{

/** Source of the present instant in UTC; tests replace it by a virtual one. */
class wall_clock
{
public:
    virtual ~wall_clock() = default;

    /** @return the present instant; it may go back when the clock is set. Any thread may call it. */
    virtual wall_time now() const = 0;
};

} // namespace teaselward
