#pragma once

namespace teaselward
{

/** Notifies every entry that the agent accepts no new tasks. */
struct announce_leaving {
};

} // namespace teaselward
