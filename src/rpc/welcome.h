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
    bool accepted = false; ///< False if the versions differ.
    std::uint32_t version = 0; ///< Protocol version of the entry.
    entry_info self; ///< The entry.
    std::chrono::milliseconds lease{}; ///< Time that the session stays valid without a message.
    std::vector<std::string> entries; ///< Addresses of the entries that it is connected to.
    std::uint64_t configOffset = 0; ///< Offset of its copy of the configuration.
};

} // namespace teaselward
