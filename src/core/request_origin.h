#pragma once

#include <cstdint>

namespace teaselward
{

/** Adapter that waits for the answer to a request. */
enum class request_origin : std::uint8_t {
    caller, ///< The front end.
    peer, ///< Another entry that forwarded the request.
    operators, ///< The administration listener.
    platformClient, ///< The front of the users' platform.
};

} // namespace teaselward
