#pragma once

#include "base/clock.h"

namespace teaselward
{

/** A draining endpoint has announced when it stops; a later announcement replaces an earlier one. */
struct stop_announced {
    mono_time stopsAt{}; ///< Earliest time at which the endpoint stops.
};

} // namespace teaselward
