#pragma once

namespace teaselward
{

/**
 * Sends jobs at a fixed rate and prints the measures.
 * @param argc number of arguments
 * @param argv arguments from the subcommand's name on
 * @return exit status; its values are listed by --help
 */
int runLoad(int argc, char **argv);

} // namespace teaselward
