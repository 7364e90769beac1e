#pragma once

#include <cstdint>
#include <string>

namespace teaselward
{

/** Current version of a configuration file on the platform log. */
struct config_file {
    std::string content;
    std::uint64_t version = 0; ///< Offset of the record that set this version.
    std::string author;
};

} // namespace teaselward
