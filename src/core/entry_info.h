#pragma once

#include "core/entry_id.h"

#include <string>

namespace teaselward
{

/** Properties that an entry announces of itself. */
struct entry_info {
    entry_id id;
    std::string address; ///< RPC address as IP:PORT.
    std::string failureDomain;
};

} // namespace teaselward
