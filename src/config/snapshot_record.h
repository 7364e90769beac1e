#pragma once

#include "config/config_files.h"

#include <cstdint>
#include <string>
#include <vector>

namespace teaselward
{

/** State after all records up to an offset. Replaces records that are dropped when their retention ends. */
struct snapshot_record {
    std::uint64_t covers = 0; ///< Offset of the last record that it includes.
    config_files files;
    std::vector<std::string> recentIds; ///< Append ids, oldest first.
};

} // namespace teaselward
