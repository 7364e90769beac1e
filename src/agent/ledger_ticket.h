#pragma once

#include "agent/ledger_record.h"

#include <vector>

namespace teaselward
{

/** What the ledger keeps about one ticket. */
struct ledger_ticket {
    bool isFenced = false; ///< No further task of the ticket starts here.
    std::vector<ledger_record> records; ///< In the order of their creation; a job has few tasks at one agent.
};

} // namespace teaselward
