#pragma once

#include <cstdint>

namespace teaselward
{

/** Action of a folder synchronization for one file. */
enum class sync_action : std::uint8_t {
    none, ///< The folder, the log and the recorded state agree.
    recordVersion, ///< The folder and the log agree, but their version is not recorded yet.
    publish, ///< Only the folder has changed since the last synchronization.
    fetch, ///< Only the log has changed since the last synchronization.
    conflict, ///< Both have changed, with different results.
};

} // namespace teaselward
