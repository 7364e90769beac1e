#pragma once

#include <cstdint>

namespace teaselward
{

/** Form in which the state of the entry is returned to an operator. */
enum class status_view : std::uint8_t {
    full, ///< The whole state.
    readiness, ///< Whether the entry accepts work.
    metrics, ///< Text exposition format, together with the metrics of the adapter.
};

} // namespace teaselward
