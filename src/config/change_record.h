#pragma once

#include <cstdint>
#include <optional>
#include <string>

namespace teaselward
{

/** Change to one configuration file, as an operator appends it to the platform log. */
struct change_record {
    std::string file;
    std::optional<std::string> content; ///< Nothing removes the file.
    std::uint64_t baseVersion = 0; ///< Version that the operator saw; zero if the file was absent.
    std::string appendId; ///< The same in each repetition of one append.
    std::string author;
};

} // namespace teaselward
