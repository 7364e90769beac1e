#pragma once

#include "settings/settings_error.h"

#include <vector>

namespace teaselward
{

/**
 * Prints settings errors to the standard error stream, one per line, as FILE:LINE: KEY: TEXT.
 * @param errors the errors
 */
void printErrors(const std::vector<settings_error> &errors);

} // namespace teaselward
