#pragma once

#include "core/entry_id.h"

#include <string>

namespace teaselward
{

/** Announcement of an entry. */
struct entry_info {
    entry_id id;
    std::string address; ///< RPC address as IP:PORT.
    std::string failureDomain;
};

} // namespace teaselward
