#pragma once

#include <cstdint>

namespace teaselward
{

/** Answer of an endpoint to a call. */
enum class call_result : std::uint8_t {
    accepted,
    outdated, ///< The endpoint has already had a run of the task with the same or a higher attempt.
    expired, ///< The lease sent with the call had already expired.
    full, ///< The endpoint has no free capacity.
    fenced, ///< A higher fencing token was already used.
    unhealthy, ///< Refused because the endpoint is unhealthy; nothing was started.
    invalid, ///< The endpoint considers the call malformed.
    endpointRestarted, ///< The endpoint has restarted since it was adopted.
    unreachable, ///< Nothing listens at the address.
    unsent, ///< The call was not sent, and never will be.
    unanswered, ///< No answer; the call may have been executed or may be executed later.
};

} // namespace teaselward
