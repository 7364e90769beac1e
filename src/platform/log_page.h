#pragma once

#include "platform/log_record.h"

#include <cstdint>
#include <vector>

namespace teaselward
{

/** Answer to a read of a stream. */
struct log_page {
    std::vector<log_record> records; ///< In the order of their offsets; empty if there is none yet.
    std::uint64_t first = 0; ///< Lowest offset that the log still keeps. Set after platform_error::belowRetention too.
    std::uint64_t next = 0; ///< Lowest offset that the log has not given out yet.
};

} // namespace teaselward
