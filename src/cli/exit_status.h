#pragma once

namespace teaselward
{

/** Exit statuses that all subcommands share. */
enum exit_status : int {
    success = 0,
    failure = 1, ///< The subcommand did not reach its goal.
    usage = 2, ///< The command line is wrong.
    badSettings = 3, ///< A settings file is wrong.
};

} // namespace teaselward
