#pragma once

namespace teaselward
{

/** Closes the connections to all entries, whose leases ended while the agent was paused. */
struct end_sessions {
};

} // namespace teaselward
