#pragma once

#include <chrono>

namespace teaselward
{

/**
 * Monotonic clock for deadlines, leases and timeouts. Setting the wall clock does not affect it. It includes the time during
 * which the machine is suspended, because leases at other machines keep running meanwhile.
 */
struct mono_clock {
    using duration = std::chrono::nanoseconds;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<mono_clock>;
    static constexpr bool is_steady = true; // NOLINT(readability-identifier-naming): name required by the standard library

    /** @return the current time */
    static time_point now() noexcept;
};

/** Time point of the monotonic clock. */
using mono_time = mono_clock::time_point;

/** Time point in UTC; used only for rules in local time and for log lines. */
using wall_time = std::chrono::sys_time<std::chrono::milliseconds>;

} // namespace teaselward
