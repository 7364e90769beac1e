#pragma once

#include <cstdint>

namespace teaselward
{

/** Interface through which a request arrived and to which its answer is returned. */
enum class request_origin : std::uint8_t {
    caller, ///< The HTTP listener for callers.
    peer, ///< Another entry that forwarded the request.
    operators, ///< The HTTP listener for operators.
    platformClient, ///< The HTTP listener for clients of the users' platform.
};

} // namespace teaselward
