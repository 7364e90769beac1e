#pragma once

namespace teaselward
{

/** The process is to stop gracefully. */
struct watch_stopped {
};

} // namespace teaselward
