#pragma once

#include <cstddef>
#include <string>

namespace teaselward
{

/** Error in a settings file. */
struct settings_error {
    std::string file;
    std::size_t line = 0; ///< Line number from 1; zero if the error has no line, such as a missing key.
    std::string key; ///< SECTION.KEY, or empty.
    std::string text;
};

} // namespace teaselward
