#pragma once

#include <cstdint>

namespace teaselward
{

/** State of a task of a running job at its home entry. */
enum class task_state : std::uint8_t {
    queued, ///< In the queue.
    delayed, ///< Returned by an agent; goes back to the queue after a delay.
    placed, ///< Sent to an agent; counts as started until the agent reports otherwise.
    succeeded, ///< Its result has been received.
};

} // namespace teaselward
