#include "proc/incarnation.h"

#include <random>

namespace teaselward
{

// A random number needs no persistent state; two given runs collide with a probability of 2^-64.
std::uint64_t makeIncarnation()
{
    std::random_device device;
    std::uint64_t value = 0;
    while (value == 0) {
        value = (static_cast<std::uint64_t>(device()) << 32U) | device();
    }
    return value;
}

} // namespace teaselward
