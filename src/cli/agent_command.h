#pragma once

namespace teaselward
{

/**
 * Runs an agent until it is told to stop.
 * @param argc number of arguments
 * @param argv arguments from the subcommand's name on
 * @return exit status
 */
int runAgent(int argc, char **argv);

} // namespace teaselward
