#pragma once

#include <cstdint>

namespace teaselward
{

/** Type of a request that is forwarded to the home entry of its ticket. */
enum class forward_kind : std::uint8_t {
    submission,
    query,
    cancellation,
};

} // namespace teaselward
