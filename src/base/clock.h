#pragma once

#include <chrono>

namespace teaselward
{

/** Clock of deadlines, leases and time-outs. It never jumps when the wall clock is set. */
using mono_clock = std::chrono::steady_clock;

/** Instant of the monotonic clock. */
using mono_time = mono_clock::time_point;

/** Instant in UTC; used only for rules in local time and for log lines. */
using wall_time = std::chrono::sys_time<std::chrono::milliseconds>;

} // namespace teaselward
