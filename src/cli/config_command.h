#pragma once

namespace teaselward
{

/**
 * Publishes, lists and checks configuration files.
 * @param argc number of arguments
 * @param argv arguments; the first is the name of the subcommand
 * @return exit status; config_command_exit.h lists the values
 */
int runConfig(int argc, char **argv);

} // namespace teaselward
