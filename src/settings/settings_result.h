#pragma once

#include "settings/settings_error.h"

#include <vector>

namespace teaselward
{

/** Settings read from a file; usable only if there are no errors. */
template<typename Settings>
struct settings_result {
    Settings settings;
    std::vector<settings_error> errors;
};

} // namespace teaselward
