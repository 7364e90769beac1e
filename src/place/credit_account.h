#pragma once

#include <cstdint>

namespace teaselward
{

/** Credits and tasks of one entry at an agent. */
struct credit_account {
    std::int32_t granted = 0; ///< Credits that the entry has not used; negative while a recall crosses a start.
    std::uint32_t running = 0;
    std::uint32_t held = 0; ///< Starts that wait for a slot at the agent.
    bool connected = false;

    /** @return whether the entry has neither a credit nor a task here and so would hear nothing from the agent */
    bool isStarved() const
    {
        return granted <= 0 && running == 0 && held == 0;
    }
};

} // namespace teaselward
