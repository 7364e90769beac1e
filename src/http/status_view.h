#pragma once

#include <cstdint>

namespace teaselward
{

/** View of the entry's status that an operator requests. */
enum class status_view : std::uint8_t {
    full, ///< The complete status.
    readiness, ///< Whether the entry accepts work.
    metrics, ///< Text exposition format, together with the metrics of the requests.
};

} // namespace teaselward
