#pragma once

namespace teaselward
{

/**
 * Runs an agent until SIGTERM or SIGINT and its graceful shutdown.
 * @param argc number of arguments
 * @param argv arguments; the first is the name of the subcommand
 * @return exit status
 */
int runAgent(int argc, char **argv);

} // namespace teaselward
