#pragma once

#include "base/clock.h"
#include "chain/session_message.h"
#include "chain/simulated_process.h"
#include "member/session_monitor.h"

#include <cstdint>
#include <deque>
#include <functional>

namespace teaselward::detail
{

/** One end of a chain_session, with its own view of the session. */
struct session_side {
    simulated_process &process;
    std::function<void()> joined;
    std::function<void()> lost;
    session_monitor monitor; ///< Lease of the peer; counts from the moment at which the RPC thread reads a message.
    std::deque<session_message> incoming{}; ///< Messages under way to this side.
    mono_time cutUntil{}; ///< Nothing arrives at this side until then.
    std::uint64_t session = 0; ///< Number of the open session.
    std::uint64_t resetSession = 0; ///< Session that only this side saw reset; each later message of it is answered by a reset.
    bool isOpen = false;
};

} // namespace teaselward::detail
