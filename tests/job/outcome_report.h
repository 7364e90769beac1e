#pragma once

#include "job/kind_outcome.h"

#include <map>
#include <string>

namespace teaselward
{

/**
 * Prints outcomes; visible with --log_level=message.
 * @param title first words of each line
 * @param outcomes outcomes by kind
 */
void report(const std::string &title, const std::map<std::string, kind_outcome> &outcomes);

} // namespace teaselward
