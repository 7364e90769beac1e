#pragma once

#include <cstdint>
#include <optional>
#include <string>

namespace teaselward
{

/** Change to one configuration file, as appended to the platform log by an operator. */
struct change_record {
    std::string file;
    std::optional<std::string> content; ///< New content; nothing if the change removes the file.
    std::uint64_t baseVersion = 0; ///< Version that the operator edited; zero if the file did not exist.
    std::string appendId; ///< Unique id of the change; the same in all retries of its append.
    std::string author;
};

} // namespace teaselward
