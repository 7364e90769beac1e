#pragma once

#include <cstdint>

namespace teaselward
{

/** State of a task in the ledger of an agent. */
enum class agent_task_state : std::uint8_t {
    notStarted, ///< Not started; a tombstone blocks any later start.
    running, ///< Started, no outcome yet.
    finished, ///< Started, the outcome is known.
};

} // namespace teaselward
