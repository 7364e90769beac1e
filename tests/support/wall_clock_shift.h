#pragma once

#include <chrono>

namespace teaselward
{

/**
 * Shifts the time of day that this process reads, while the kernel's clock stays. A wait that is computed from the shifted time ends
 * like one during which the clock is set back by the shift. Only one may exist.
 */
class wall_clock_shift
{
public:
    /**
     * Shifts the time of day.
     * @param shift the shift
     */
    explicit wall_clock_shift(std::chrono::seconds shift);
    ~wall_clock_shift();

    wall_clock_shift(const wall_clock_shift &) = delete;
    wall_clock_shift &operator=(const wall_clock_shift &) = delete;
};

} // namespace teaselward
