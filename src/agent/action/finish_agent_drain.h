#pragma once

namespace teaselward
{

/** Tells the process that no call is in progress any more. */
struct finish_agent_drain {
};

} // namespace teaselward
