#pragma once

#include <cstdint>
#include <string>

namespace teaselward
{

/** Copy of the configuration as one process holds it. */
struct config_snapshot {
    std::uint64_t offset = 0; ///< Offset in the platform log up to which the copy is complete.
    std::string text; ///< Not interpreted by the RPC adapter.
};

} // namespace teaselward
