#pragma once

namespace teaselward
{

/**
 * Benchmarks the scheduling decisions in virtual time.
 * @param argc number of arguments
 * @param argv arguments; the first is the name of the subcommand
 * @return exit status
 */
int runBench(int argc, char **argv);

} // namespace teaselward
