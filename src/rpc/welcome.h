#pragma once

#include "core/entry_info.h"

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace teaselward
{

/** Answer of an entry to the first message of a connection. */
struct welcome {
    bool accepted = false; ///< False if the protocol versions differ.
    std::uint32_t version = 0; ///< Protocol version of the entry.
    entry_info self; ///< Announcement of the entry.
    std::chrono::milliseconds lease{}; ///< Silence of a peer after which the entry closes the session.
    std::vector<std::string> entries; ///< Addresses of the entries that the entry is connected to.
    std::uint64_t configOffset = 0; ///< Offset of the entry's copy of the configuration; zero if it has none.
};

} // namespace teaselward
