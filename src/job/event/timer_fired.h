#pragma once

namespace teaselward
{

/** The time returned by entry_core::nextDue() has been reached. */
struct timer_fired {
};

} // namespace teaselward
