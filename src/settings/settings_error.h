#pragma once

#include <cstddef>
#include <string>

namespace teaselward
{

/** One fault of a settings file. */
struct settings_error {
    std::string file;
    std::size_t line = 0; ///< Counted from 1; zero if the fault has no line, such as a missing key.
    std::string key; ///< SECTION.KEY, or empty.
    std::string text;
};

} // namespace teaselward
