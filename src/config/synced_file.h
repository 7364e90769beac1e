#pragma once

#include <cstdint>
#include <string>

namespace teaselward
{

/** State of a file at the last agreement of the folder and the log. */
struct synced_file {
    std::uint64_t version = 0; ///< Version on the log.
    std::string hash; ///< Hash of the content.
};

} // namespace teaselward
