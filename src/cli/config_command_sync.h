#pragma once

#include "cli/config_command_exit.h"
#include "config/config_publisher.h"

#include <string>

namespace teaselward
{

/**
 * Prints what became of a change.
 * @param file name of the file
 * @param result what became of it
 * @return exit status for it
 */
config_command_exit reportResult(const std::string &file, const publish_result &result);

/**
 * Brings a folder and the log into agreement and prints a line for each file that differs.
 * @param publisher publisher that has read the stream
 * @param folder path of the folder
 * @return exit status of the first file that could not be brought into agreement
 */
config_command_exit syncFolder(config_publisher &publisher, const std::string &folder);

} // namespace teaselward
