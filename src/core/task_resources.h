#pragma once

#include <cstdint>

namespace teaselward
{

/** Resources of an endpoint, or the part of them that one task needs. */
struct task_resources {
    std::uint32_t cpuMillis = 0; ///< Thousandths of a core.
    std::uint32_t memoryMb = 0;
    std::uint32_t gpus = 0;

    friend bool operator==(const task_resources &, const task_resources &) = default;
};

} // namespace teaselward
