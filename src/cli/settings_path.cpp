#include "cli/settings_path.h"

#include <cstdlib>

namespace teaselward
{

std::string settingsPath(const std::string &flag)
{
    const char *fromEnvironment = std::getenv("TEASELWARD_SETTINGS");
    return flag.empty() && fromEnvironment != nullptr ? fromEnvironment : flag;
}

} // namespace teaselward
