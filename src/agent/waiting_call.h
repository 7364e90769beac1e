#pragma once

#include "core/call_id.h"
#include "core/entry_id.h"

#include <cstdint>

namespace teaselward
{

/** Start whose answer is due when the task ends. */
struct waiting_call {
    call_id call;
    entry_id from;
    std::uint64_t session = 0; ///< Registration during which the start arrived; credits travel with an answer within it only.
};

} // namespace teaselward
