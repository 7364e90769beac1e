#pragma once

#include "config/wall_clock.h"

namespace teaselward
{

/** Wall clock of the operating system. */
class system_wall_clock : public wall_clock
{
public:
    wall_time now() const override
    {
        return std::chrono::floor<wall_time::duration>(std::chrono::system_clock::now());
    }
};

} // namespace teaselward
