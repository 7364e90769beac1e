#include "base/clock.h"

#include <ctime>

namespace teaselward
{

mono_clock::time_point mono_clock::now() noexcept
{
    timespec value{};
    clock_gettime(CLOCK_BOOTTIME, &value);
    return time_point(std::chrono::seconds(value.tv_sec) + std::chrono::nanoseconds(value.tv_nsec));
}

} // namespace teaselward
