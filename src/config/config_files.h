#pragma once

#include "config/config_file.h"

#include <functional>
#include <map>
#include <string>

namespace teaselward
{

/** Configuration files, sorted by name, which is also the order in which they are merged. */
using config_files = std::map<std::string, config_file, std::less<>>;

} // namespace teaselward
