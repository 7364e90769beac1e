#pragma once

#include <string>

namespace teaselward
{

/**
 * Returns the path of the settings file.
 * @param flag value of --settings
 * @return the flag, or the value of TEASELWARD_SETTINGS if the flag is empty
 */
std::string settingsPath(const std::string &flag);

} // namespace teaselward
