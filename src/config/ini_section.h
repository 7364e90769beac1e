#pragma once

#include "config/ini_entry.h"

#include <cstddef>
#include <string>
#include <vector>

namespace teaselward
{

/** Section "[kind NAME]" of an INI file. */
struct ini_section {
    std::string type; ///< First word of the header.
    std::string name; ///< Second word of the header.
    std::size_t line = 0; ///< Line number of the header, from 1.
    std::vector<ini_entry> entries;
};

} // namespace teaselward
