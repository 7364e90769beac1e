#pragma once

#include <cstdint>

namespace teaselward
{

/** Request that is forwarded to the home entry of its ticket. */
enum class forward_kind : std::uint8_t {
    submission,
    query,
    cancellation,
};

} // namespace teaselward
