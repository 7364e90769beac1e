#pragma once

#include "base/clock.h"

namespace teaselward
{

/** Source of the current time in UTC; tests replace it by a virtual clock. */
class wall_clock
{
public:
    virtual ~wall_clock() = default;

    /** @return the current time; it may go back when the clock is set. Thread-safe. */
    virtual wall_time now() const = 0;
};

} // namespace teaselward
