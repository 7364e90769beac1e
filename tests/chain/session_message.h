#pragma once

#include "base/clock.h"

#include <cstdint>
#include <functional>

namespace teaselward::detail
{

/** Message of a chain_session under way. */
struct session_message {
    mono_time due{}; ///< Arrival, unless the connection is cut.
    std::uint64_t session = 0; ///< Number of the session that it belongs to.
    bool isWelcome = false; ///< Opens the session at the agent.
    std::function<void()> deliver;
};

} // namespace teaselward::detail
