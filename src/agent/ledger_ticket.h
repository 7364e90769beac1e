#pragma once

#include "agent/ledger_record.h"

#include <vector>

namespace teaselward
{

/** Records of one ticket in the ledger. */
struct ledger_ticket {
    bool isFenced = false; ///< No further task of the ticket may start at this agent.
    std::vector<ledger_record> records; ///< Unordered; few, because a job has few tasks at one agent.
};

} // namespace teaselward
