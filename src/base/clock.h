#pragma once

#include <chrono>

namespace teaselward
{

/**
 * Clock of deadlines, leases and time-outs. It never jumps when the wall clock is set, and it counts the time that the machine
 * is suspended, since leases at other machines go on meanwhile.
 */
struct mono_clock {
    using duration = std::chrono::nanoseconds;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<mono_clock>;
    static constexpr bool is_steady = true; // NOLINT(readability-identifier-naming): the name that the standard library asks for.

    /** @return the present time */
    static time_point now() noexcept;
};

/** Instant of the monotonic clock. */
using mono_time = mono_clock::time_point;

/** Instant in UTC; used only for rules in local time and for log lines. */
using wall_time = std::chrono::sys_time<std::chrono::milliseconds>;

} // namespace teaselward
