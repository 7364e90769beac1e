#pragma once

#include "core/ticket_id.h"

#include <chrono>
#include <string>

namespace teaselward
{

/** Authorization to submit one job to the entry incarnation that issued it. */
struct ticket {
    std::string home; ///< RPC address of the home entry as IP:PORT.
    ticket_id id;
    std::chrono::milliseconds issuedAt{}; ///< Time since the home incarnation started.

    friend bool operator==(const ticket &, const ticket &) = default;
};

} // namespace teaselward
