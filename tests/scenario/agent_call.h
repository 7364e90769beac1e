#pragma once

#include "core/task_id.h"

#include <cstddef>
#include <cstdint>

namespace teaselward::testing
{

/** Call of an entry to an agent that is not answered yet. */
struct agent_call {
    std::size_t entry = 0;
    std::size_t agent = 0;
    std::uint64_t generation = 0; ///< Generation of the session that carries the call.
    ticket_id ticket;
};

} // namespace teaselward::testing
