#pragma once

namespace teaselward
{

/**
 * Runs an entry until it is told to stop.
 * @param argc number of arguments
 * @param argv arguments from the subcommand's name on
 * @return exit status
 */
int runEntry(int argc, char **argv);

} // namespace teaselward
