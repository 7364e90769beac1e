#pragma once

namespace teaselward
{

/** Exit statuses that the subcommands have in common. */
enum exit_status : int {
    success = 0,
    failure = 1, ///< The subcommand failed.
    usage = 2, ///< The command line is invalid.
    badSettings = 3, ///< A settings file is invalid.
};

} // namespace teaselward
