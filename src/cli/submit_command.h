#pragma once

namespace teaselward
{

/**
 * Submits one job and prints its results.
 * @param argc number of arguments
 * @param argv arguments from the subcommand's name on
 * @return exit status; its values are listed by --help
 */
int runSubmit(int argc, char **argv);

} // namespace teaselward
