#pragma once

#include <cstddef>
#include <cstdint>

namespace teaselward
{

/** Thread of a simulated process. */
enum class process_lane : std::uint8_t {
    decision,
    rpc,
    worker,
};

constexpr std::size_t LaneCount = 3;

} // namespace teaselward
