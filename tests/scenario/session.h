#pragma once

#include "core/task_id.h"

#include <cstdint>
#include <functional>
#include <vector>

namespace teaselward::testing
{

/** Session between one entry and one agent. */
struct session {
    bool isUp = false;
    bool isCut = false;
    std::uint64_t generation = 0; ///< Changes with each connect and disconnect.
    std::vector<task_id> unanswered; ///< Starts sent by the entry whose answers have not reached it.
    std::vector<std::function<void()>> held; ///< Messages held back until the cut ends.
};

} // namespace teaselward::testing
