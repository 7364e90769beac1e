#pragma once

#include "settings/settings_error.h"

#include <string>
#include <vector>

namespace teaselward
{

/**
 * Describes the check of a settings file that has changed.
 * @param errors what is wrong with it
 * @return sentence for the log
 */
std::string reloadText(const std::vector<settings_error> &errors);

} // namespace teaselward
