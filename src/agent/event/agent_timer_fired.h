#pragma once

namespace teaselward
{

/** The time that the core asked for has come. */
struct agent_timer_fired {
};

} // namespace teaselward
