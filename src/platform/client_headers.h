#pragma once

#include <string>
#include <vector>

namespace teaselward
{

/** Header with the client's timeout in milliseconds. Despite its name on the wire it is a duration, not a point in time. */
constexpr const char *ClientTimeoutHeader = "Deadline-Ms";

/** Header whose value selects the host of a route. */
constexpr const char *HostHeader = "Host";

/** @return request headers that the front end reads */
inline std::vector<std::string> clientHeaders()
{
    return {HostHeader, ClientTimeoutHeader};
}

} // namespace teaselward
