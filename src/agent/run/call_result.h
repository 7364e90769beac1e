#pragma once

#include <cstdint>

namespace teaselward
{

/** How an endpoint answered a call. */
enum class call_result : std::uint8_t {
    accepted,
    outdated, ///< A run of the task with the same or a higher attempt was there before.
    expired, ///< The lease that the call carried had ended.
    full, ///< The endpoint has no room.
    fenced, ///< A higher fencing token was used before.
    unhealthy, ///< Refused by an unhealthy endpoint, which has done nothing.
    invalid, ///< Malformed in the view of the endpoint.
    endpointRestarted, ///< The endpoint has started anew since.
    unreachable, ///< Nothing listens at the address.
    unanswered, ///< The call may have been carried out, or may be later.
};

} // namespace teaselward
