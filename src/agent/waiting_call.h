#pragma once

#include "core/call_id.h"
#include "core/entry_id.h"

#include <cstdint>

namespace teaselward
{

/** Start request that is answered when the task ends. */
struct waiting_call {
    call_id call;
    entry_id from;
    std::uint64_t session = 0; ///< Registration during which the request arrived; the answer carries credits only while it lasts.
};

} // namespace teaselward
