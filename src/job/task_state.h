#pragma once

#include <cstdint>

namespace teaselward
{

/** State of one task of a running job at its home. */
enum class task_state : std::uint8_t {
    queued, ///< Waits in the queue.
    delayed, ///< Returned by an agent; goes back to the queue after a delay.
    placed, ///< Sent to an agent; it counts as started until the agent says otherwise.
    succeeded, ///< Its result is held.
};

} // namespace teaselward
