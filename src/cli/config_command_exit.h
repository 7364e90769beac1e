#pragma once

namespace teaselward
{

/** Exit statuses of `teaselward config`. */
enum class config_command_exit {
    done = 0,
    failed = 1, ///< A local file cannot be read or written, or the log rejects the requests.
    usage = 2,
    conflict = 3,
    invalid = 4,
    logUnavailable = 5,
    outcomeUnknown = 6,
};

} // namespace teaselward
