#pragma once

#include "core/ticket_id.h"

#include <chrono>
#include <string>

namespace teaselward
{

/** Authorization to submit one job. The home entry of a ticket is the entry incarnation that issued it and owns its job. */
struct ticket {
    std::string home; ///< RPC address of the home entry as IP:PORT.
    ticket_id id;
    std::chrono::milliseconds issuedAt{}; ///< Time since the home entry started.

    friend bool operator==(const ticket &, const ticket &) = default;
};

} // namespace teaselward
