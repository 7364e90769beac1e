#pragma once

#include "core/task_id.h"

#include <cstdint>
#include <functional>
#include <vector>

namespace teaselward::testing
{

/** Connection between one entry and one agent. */
struct session {
    bool isUp = false;
    bool isCut = false;
    std::uint64_t generation = 0; ///< Changes with each connect and disconnect.
    std::vector<task_id> unanswered; ///< Starts in progress as the entry sees them.
    std::vector<std::function<void()>> held; ///< Messages that wait for the end of a cut.
};

} // namespace teaselward::testing
