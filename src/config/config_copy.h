#pragma once

#include <cstdint>
#include <string>

namespace teaselward
{

/** Configuration as processes hand it to each other. */
struct config_copy {
    std::uint64_t offset = 0; ///< Log offset up to which it is folded.
    std::string text; ///< Snapshot record as on the platform log.
};

} // namespace teaselward
