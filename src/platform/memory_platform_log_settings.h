#pragma once

#include "base/clock.h"

#include <chrono>
#include <cstddef>
#include <functional>
#include <optional>

namespace teaselward
{

/** Settings of memory_platform_log. */
struct memory_platform_log_settings {
    std::optional<std::chrono::milliseconds> retention = std::nullopt; ///< Age at which records are dropped; std::nullopt keeps all records.
    std::size_t recordLimit = std::size_t{3} << 20; ///< Maximum bytes of one record.
    std::size_t pageLimit = std::size_t{1} << 20; ///< Maximum bytes of one page, unless its first record is larger.
    std::function<mono_time()> now = &mono_clock::now; ///< Clock by which the retention is measured.
};

} // namespace teaselward
