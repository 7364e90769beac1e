#pragma once

#include "agent/ledger_record.h"

#include <vector>

namespace teaselward
{

/** What the ledger of an agent holds about one ticket: its fence and the records of its tasks. */
struct ledger_ticket {
    bool isFenced = false; ///< No further task of the ticket may start at this agent.
    std::vector<ledger_record> records; ///< Unordered and searched linearly, since a job has few tasks at one agent.
};

} // namespace teaselward
