#pragma once

namespace teaselward
{

/**
 * Sends jobs at a fixed mean rate and prints response times and goodput.
 * @param argc number of arguments
 * @param argv arguments; the first is the name of the subcommand
 * @return exit status; its values are listed by --help
 */
int runLoad(int argc, char **argv);

} // namespace teaselward
