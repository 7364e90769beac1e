#pragma once

namespace teaselward
{

/** The time returned by agent_core::nextDue() has been reached. */
struct agent_timer_fired {
};

} // namespace teaselward
