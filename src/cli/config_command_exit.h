#pragma once

namespace teaselward
{

/** Exit statuses of `teaselward config`. */
enum class config_command_exit {
    done = 0,
    failed = 1, ///< A local file cannot be read or written, or the log rejects the requests.
    usage = 2, ///< The command line is invalid.
    conflict = 3, ///< The file has another version than the base.
    invalid = 4, ///< A file breaks the format or a range; nothing was changed.
    logUnavailable = 5, ///< The platform log does not answer; nothing was changed.
    outcomeUnknown = 6, ///< The change may have been published.
};

} // namespace teaselward
