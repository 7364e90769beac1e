#pragma once

#include "core/entry_id.h"
#include "core/task_id.h"

namespace teaselward
{

/** An entry no longer needs the result of a restartable task. */
struct stop_received {
    entry_id from;
    task_id id;
};

} // namespace teaselward
