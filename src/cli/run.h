#pragma once

namespace teaselward
{

/**
 * Runs the subcommand given on the command line.
 * @param argc number of arguments
 * @param argv arguments; the first after the program's name is the subcommand
 * @return exit status of the process
 */
int runCommandLine(int argc, char **argv);

} // namespace teaselward
