#pragma once

namespace teaselward
{

/**
 * Validates settings files and prints all errors.
 * @param argc number of arguments
 * @param argv arguments; the first is the name of the subcommand
 * @return exit status
 */
int runCheckSettings(int argc, char **argv);

} // namespace teaselward
