#pragma once

#include "core/call_id.h"
#include "core/held_task.h"

#include <vector>

namespace teaselward
{

/** Answers a fence. */
struct answer_fence {
    call_id call;
    std::vector<held_task> held;
};

} // namespace teaselward
