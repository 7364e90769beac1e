#pragma once

#include <string>
#include <vector>

namespace teaselward
{

/** Header by which a client tells how long it waits, in milliseconds. */
constexpr const char *ClientTimeoutHeader = "Deadline-Ms";

/** Header that names the host of a route. */
constexpr const char *HostHeader = "Host";

/** @return headers of clients that the front reads */
inline std::vector<std::string> clientHeaders()
{
    return {HostHeader, ClientTimeoutHeader};
}

} // namespace teaselward
