#pragma once

#include <cstdint>

namespace teaselward
{

/** Totals over all entries at an agent. */
struct credit_totals {
    std::uint32_t slots = 0;
    std::uint32_t running = 0;
    std::uint32_t held = 0;
    std::uint32_t entries = 0; ///< Connected entries.

    /** @return slots that neither run a task nor are claimed by a held start */
    std::int32_t free() const
    {
        const std::int32_t left = static_cast<std::int32_t>(slots) - static_cast<std::int32_t>(running + held);
        return left > 0 ? left : 0;
    }
};

} // namespace teaselward
