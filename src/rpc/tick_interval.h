#pragma once

#include <algorithm>
#include <chrono>

namespace teaselward
{

/**
 * Distance of the checks of an adapter's sessions: several within a heartbeat and within a lease.
 * @param lease silence of a peer after which it is lost
 * @param heartbeat own silence after which a heartbeat is due
 * @return the distance, at least 1 ms
 */
inline std::chrono::milliseconds tickInterval(std::chrono::milliseconds lease, std::chrono::milliseconds heartbeat)
{
    return std::max(std::chrono::milliseconds(1), std::min(lease / 8, heartbeat / 4));
}

} // namespace teaselward
