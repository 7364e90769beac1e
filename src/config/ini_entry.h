#pragma once

#include <cstddef>
#include <string>

namespace teaselward
{

/** Line "key = value" of an INI file. */
struct ini_entry {
    std::string key;
    std::string value;
    std::size_t line = 0; ///< Line number, from 1.
};

} // namespace teaselward
