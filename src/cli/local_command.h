#pragma once

namespace teaselward
{

/**
 * Runs an entry, an agent, a platform log and an endpoint as threads of one process.
 * @param argc number of arguments
 * @param argv arguments; the first is the name of the subcommand
 * @return exit status
 */
int runLocal(int argc, char **argv);

} // namespace teaselward
