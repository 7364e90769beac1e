#pragma once

#include "base/clock.h"
#include "core/task_id.h"

namespace teaselward
{

/** Time at which the ledger drops a record or a fence. */
struct ledger_expiry {
    mono_time due{};
    task_id id;
    bool isFence = false; ///< Drops the fence of the ticket instead of the record of the task.
};

} // namespace teaselward
