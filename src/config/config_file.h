#pragma once

#include <cstdint>
#include <string>

namespace teaselward
{

/** Configuration file as it stands on the platform log. */
struct config_file {
    std::string content;
    std::uint64_t version = 0; ///< Offset of the record that set it.
    std::string author;
};

} // namespace teaselward
