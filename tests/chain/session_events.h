#pragma once

#include "base/clock.h"

#include <functional>

namespace teaselward
{

/** Receivers of the changes of a chain_session; each is called on the RPC thread of its process. */
struct session_events {
    std::function<void()> agentJoined; ///< At the entry.
    std::function<void()> agentLost; ///< At the entry.
    std::function<void(mono_time sentAt)> entryJoined; ///< At the agent, with the time at which it sent its registration.
    std::function<void(mono_time sentAt)> entryConfirmed; ///< At the agent, with the time at which it sent the call that the entry answered.
    std::function<void()> entryLost; ///< At the agent.
};

} // namespace teaselward
