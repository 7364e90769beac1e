#pragma once

#include "cli/config_command_exit.h"
#include "config/config_publisher.h"

#include <string>

namespace teaselward
{

/**
 * Prints the result of publishing a change.
 * @param file name of the changed file
 * @param result result of the publisher
 * @return exit status for the result
 */
config_command_exit reportResult(const std::string &file, const publish_result &result);

/**
 * Synchronizes a folder with the configuration in the platform log and prints a line for each file that differs.
 * @param publisher publisher that has read the stream
 * @param folder path of the folder
 * @return exit status of the first file that could not be synchronized
 */
config_command_exit syncFolder(config_publisher &publisher, const std::string &folder);

} // namespace teaselward
