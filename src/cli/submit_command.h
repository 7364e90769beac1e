#pragma once

namespace teaselward
{

/**
 * Submits one job and prints its results.
 * @param argc number of arguments
 * @param argv arguments; the first is the name of the subcommand
 * @return exit status; its values are listed by --help
 */
int runSubmit(int argc, char **argv);

} // namespace teaselward
