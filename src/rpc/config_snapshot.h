#pragma once

#include <cstdint>
#include <string>

namespace teaselward
{

/** Copy of the configuration as one process holds it. */
struct config_snapshot {
    std::uint64_t offset = 0; ///< Log offset that the copy covers.
    std::string text; ///< Opaque to the messages.
};

} // namespace teaselward
