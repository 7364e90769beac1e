#pragma once

#include "base/clock.h"
#include "core/call_id.h"
#include "core/entry_id.h"
#include "core/start_order.h"

#include <optional>

namespace teaselward
{

/** Start request that waits at its agent for a free slot. */
struct held_start {
    call_id call;
    entry_id from;
    start_order order;
    mono_time heldSince{};

    /** @return latest start time that meets the response-time objective of the job; empty if it has none */
    std::optional<mono_time> due() const;
};

} // namespace teaselward
