#pragma once

#include "config/wall_clock.h"

#include <atomic>

namespace teaselward
{

/** Wall clock whose time is set by the test. Thread-safe. */
class virtual_wall_clock : public wall_clock
{
public:
    wall_time now() const override
    {
        return wall_time(std::chrono::milliseconds(m_now.load()));
    }

    /** Sets the clock. @param now the new current time */
    void set(wall_time now)
    {
        m_now = now.time_since_epoch().count();
    }

private:
    std::atomic<std::chrono::milliseconds::rep> m_now = 0;
};

} // namespace teaselward
