#pragma once

#include <cstdint>

namespace teaselward
{

/** Half of the endpoints that a kind prefers while kinds that slow each other are separated. */
enum class placement_group : std::uint8_t {
    first,
    second,
};

} // namespace teaselward
