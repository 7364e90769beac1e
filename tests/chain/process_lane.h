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
    listener,
    connectionCheck,
};

constexpr std::size_t LaneCount = 5;

} // namespace teaselward
