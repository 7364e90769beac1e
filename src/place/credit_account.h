#pragma once

#include <cstdint>

namespace teaselward
{

/** Credits and tasks of one entry at an agent. */
struct credit_account {
    std::int32_t granted = 0; ///< Credits that the entry has not used; negative if a recall crossed a start on the way.
    std::uint32_t running = 0;
    std::uint32_t held = 0; ///< Starts held at the agent until a slot is free.
    bool connected = false;

    /** @return whether the entry has neither a credit nor a task here, so that the agent has no reason to contact it */
    bool isStarved() const
    {
        return granted <= 0 && running == 0 && held == 0;
    }
};

} // namespace teaselward
