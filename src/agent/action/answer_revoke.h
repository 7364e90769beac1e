#pragma once

#include "core/call_id.h"
#include "core/held_task.h"

namespace teaselward
{

/** Answers a revocation. */
struct answer_revoke {
    call_id call;
    held_task held;
};

} // namespace teaselward
