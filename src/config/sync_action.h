#pragma once

#include <cstdint>

namespace teaselward
{

/** What synchronizing a folder does with one file. */
enum class sync_action : std::uint8_t {
    none, ///< The folder and the log agree and nothing is to be noted.
    recordVersion, ///< They agree, and the version is to be noted.
    publish, ///< The folder has changed since the last time; the log has not.
    fetch, ///< The log has changed since the last time; the folder has not.
    conflict, ///< Both have changed in different ways.
};

} // namespace teaselward
