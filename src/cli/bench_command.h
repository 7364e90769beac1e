#pragma once

namespace teaselward
{

/**
 * Measures the decisions in virtual time.
 * @param argc number of arguments
 * @param argv arguments from the subcommand's name on
 * @return exit status
 */
int runBench(int argc, char **argv);

} // namespace teaselward
