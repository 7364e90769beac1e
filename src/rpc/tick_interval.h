#pragma once

#include <algorithm>
#include <chrono>

namespace teaselward
{

/**
 * Interval at which an adapter checks its sessions: several times per heartbeat and per lease.
 * @param lease silence of a peer after which its session is lost
 * @param heartbeat own silence after which a heartbeat is due
 * @return the interval, at least 1 ms
 */
inline std::chrono::milliseconds tickInterval(std::chrono::milliseconds lease, std::chrono::milliseconds heartbeat)
{
    return std::max(std::chrono::milliseconds(1), std::min(lease / 8, heartbeat / 4));
}

} // namespace teaselward
