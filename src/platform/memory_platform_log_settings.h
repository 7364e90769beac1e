#pragma once

#include "base/clock.h"

#include <chrono>
#include <cstddef>
#include <functional>
#include <optional>

namespace teaselward
{

/** Settings of the log in memory. */
struct memory_platform_log_settings {
    std::optional<std::chrono::milliseconds> retention = std::nullopt; ///< Age at which records are dropped; nothing keeps them all.
    std::size_t recordLimit = std::size_t{3} << 20; ///< Bytes of one record.
    std::size_t pageLimit = std::size_t{1} << 20; ///< Bytes of one page; a page holds at least one record.
    std::function<mono_time()> now = &mono_clock::now; ///< Clock of the retention.
};

} // namespace teaselward
