#pragma once

#include <cstdint>

namespace teaselward
{

/** What is known about a task that was sent to an agent. */
enum class task_verdict : std::uint8_t {
    succeeded, ///< The endpoint ran the task and returned its result.
    failed, ///< The endpoint ran the task and reported failure.
    notStarted, ///< The task was not started there and never will be.
    unknown, ///< A start may have happened and its outcome is lost.
    interrupted, ///< A run may have begun but has ended without a result; only a restartable task may start again.
};

} // namespace teaselward
