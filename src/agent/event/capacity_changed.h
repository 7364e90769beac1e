#pragma once

#include "core/task_resources.h"

namespace teaselward
{

/** The endpoint has announced other resources while it runs. */
struct capacity_changed {
    task_resources capacity;
};

} // namespace teaselward
