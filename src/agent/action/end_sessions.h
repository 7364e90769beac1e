#pragma once

namespace teaselward
{

/** Closes the connections to all entries because their leases may have expired while the agent was paused. */
struct end_sessions {
};

} // namespace teaselward
