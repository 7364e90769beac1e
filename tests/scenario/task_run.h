#pragma once

#include "base/clock.h"
#include "core/task_id.h"

#include <cstddef>
#include <string>

namespace teaselward::testing
{

/** What happened to one task at the endpoints, independent of what was answered. */
struct task_run {
    std::size_t starts = 0;
    std::size_t agent = 0; ///< Index of the agent of the last start.
    mono_time startedAt{}; ///< Time of the last start.
    bool succeeded = false;
    std::string result; ///< Result of the last start that succeeded.
};

} // namespace teaselward::testing
