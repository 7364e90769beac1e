#pragma once

#include <cstdint>

namespace teaselward
{

/** Answer to a simulated job. */
enum class simulated_result : std::uint8_t {
    none, ///< Not answered yet.
    complete,
    refused, ///< Answered "not run".
    failed,
};

} // namespace teaselward
