#pragma once

namespace teaselward
{

/** The process is to stop gracefully. */
struct watch_stop_requested {
};

} // namespace teaselward
