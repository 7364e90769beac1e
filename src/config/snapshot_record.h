#pragma once

#include "config/config_files.h"

#include <cstdint>
#include <string>
#include <vector>

namespace teaselward
{

/** Result of folding the records up to an offset; it takes the place of records that retention drops. */
struct snapshot_record {
    std::uint64_t covers = 0; ///< Offset of the last record that is folded into it.
    config_files files;
    std::vector<std::string> recentIds; ///< Append ids, oldest first.
};

} // namespace teaselward
