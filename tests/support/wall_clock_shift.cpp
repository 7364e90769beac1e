#include "support/wall_clock_shift.h"

#include <sys/syscall.h>
#include <sys/time.h>
#include <unistd.h>

#include <atomic>
#include <ctime>

namespace
{

std::atomic<std::time_t> shiftSeconds = 0;

} // namespace

// These functions take the place of those of the C library in this program, with the same contracts.

extern "C" int clock_gettime(clockid_t clock, timespec *time) noexcept // NOLINT(readability-identifier-naming): defined by POSIX
{
    const auto result = static_cast<int>(::syscall(SYS_clock_gettime, clock, time));
    if (result == 0 && clock == CLOCK_REALTIME) {
        time->tv_sec += shiftSeconds;
    }
    return result;
}

extern "C" int gettimeofday(timeval *time, void * /*zone*/) noexcept // NOLINT(readability-identifier-naming): defined by POSIX
{
    timespec now{};
    const int result = clock_gettime(CLOCK_REALTIME, &now);
    time->tv_sec = now.tv_sec;
    time->tv_usec = std::chrono::duration_cast<std::chrono::microseconds>(std::chrono::nanoseconds(now.tv_nsec)).count();
    return result;
}

namespace teaselward
{

wall_clock_shift::wall_clock_shift(std::chrono::seconds shift)
{
    shiftSeconds = shift.count();
}

wall_clock_shift::~wall_clock_shift()
{
    shiftSeconds = 0;
}

} // namespace teaselward
