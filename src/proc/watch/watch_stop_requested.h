#pragma once

namespace teaselward
{

/** A graceful shutdown of the process has been requested. */
struct watch_stop_requested {
};

} // namespace teaselward
