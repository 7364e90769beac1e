#pragma once

#include "core/call_id.h"
#include "core/task_id.h"
#include "core/task_outcome.h"

#include <cstdint>

namespace teaselward
{

/** Answers a start request. */
struct answer_start {
    call_id call;
    task_id id;
    task_outcome outcome;
    std::int32_t credits = 0; ///< Credits returned to the entry.
    double runTimeFactor = 0; ///< Run times at the endpoint over the expected ones; zero if unknown.
};

} // namespace teaselward
