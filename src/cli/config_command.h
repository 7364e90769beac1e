#pragma once

namespace teaselward
{

/**
 * Publishes, lists and checks configuration files.
 * @param argc number of arguments
 * @param argv arguments from the subcommand's name on
 * @return exit status; config_command_exit.h lists the values
 */
int runConfig(int argc, char **argv);

} // namespace teaselward
