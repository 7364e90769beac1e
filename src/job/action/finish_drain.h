#pragma once

namespace teaselward
{

/** Tells the process that nothing is in progress any more. */
struct finish_drain {
};

} // namespace teaselward
