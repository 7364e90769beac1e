#pragma once

#include "base/clock.h"

namespace teaselward
{

/** A cold endpoint has announced again until when it runs tasks slowly. */
struct warm_up_announced {
    mono_time warmAt{}; ///< Time from which the endpoint runs tasks at its full speed.
};

} // namespace teaselward
