#pragma once

namespace teaselward
{

/**
 * Checks settings files as a whole.
 * @param argc number of arguments
 * @param argv arguments from the subcommand's name on
 * @return exit status
 */
int runCheckSettings(int argc, char **argv);

} // namespace teaselward
