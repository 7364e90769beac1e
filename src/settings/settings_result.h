#pragma once

#include "settings/settings_error.h"

#include <vector>

namespace teaselward
{

/** Settings read from a file; valid only if there is no error. */
template<typename Settings>
struct settings_result {
    Settings settings;
    std::vector<settings_error> errors;
};

} // namespace teaselward
