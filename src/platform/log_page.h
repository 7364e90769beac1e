#pragma once

#include "platform/log_record.h"

#include <cstdint>
#include <vector>

namespace teaselward
{

/** Result of a read of a stream. */
struct log_page {
    std::vector<log_record> records; ///< Ordered by offset; empty if there are none yet.
    std::uint64_t first = 0; ///< Lowest retained offset; also set after platform_error::belowRetention.
    std::uint64_t next = 0; ///< Offset of the next record that will be appended.
};

} // namespace teaselward
