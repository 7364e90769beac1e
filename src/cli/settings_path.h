#pragma once

#include <string>

namespace teaselward
{

/**
 * Finds the settings file of a process.
 * @param flag value of --settings
 * @return the flag, or if it is empty the value of TEASELWARD_SETTINGS
 */
std::string settingsPath(const std::string &flag);

} // namespace teaselward
