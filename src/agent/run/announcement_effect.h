#pragma once

#include <cstdint>

namespace teaselward
{

/** What an announcement of an endpoint changes. */
enum class announcement_effect : std::uint8_t {
    unchanged, ///< Nothing, or the announcement is outdated.
    adopt, ///< A new life of the endpoint begins; a former one is over.
    drain, ///< The endpoint begins to leave.
};

} // namespace teaselward
