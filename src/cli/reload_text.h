#pragma once

#include "settings/settings_error.h"

#include <string>
#include <vector>

namespace teaselward
{

/**
 * Describes the result of checking a changed settings file.
 * @param errors errors in the file
 * @return sentence for the log
 */
std::string reloadText(const std::vector<settings_error> &errors);

} // namespace teaselward
