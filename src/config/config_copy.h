#pragma once

#include <cstdint>
#include <string>

namespace teaselward
{

/** Configuration as processes pass it to each other. */
struct config_copy {
    std::uint64_t offset = 0; ///< Log offset of the last record that it includes.
    std::string text; ///< Snapshot record in the format of the platform log.
};

} // namespace teaselward
