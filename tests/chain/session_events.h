#pragma once

#include <functional>

namespace teaselward
{

/** Receivers of the changes of a chain_session; each is called on the RPC thread of its process. */
struct session_events {
    std::function<void()> agentJoined; ///< At the entry.
    std::function<void()> agentLost; ///< At the entry.
    std::function<void()> entryJoined; ///< At the agent.
    std::function<void()> entryLost; ///< At the agent.
};

} // namespace teaselward
