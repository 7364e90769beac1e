#pragma once

namespace teaselward
{

/** Notifies the process that the drain is complete: no call is in progress, or the time limit has passed. */
struct finish_agent_drain {
};

} // namespace teaselward
