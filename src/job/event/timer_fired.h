#pragma once

namespace teaselward
{

/** The time that the core asked for has come. */
struct timer_fired {
};

} // namespace teaselward
