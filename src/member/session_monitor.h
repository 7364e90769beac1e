#pragma once

#include "base/clock.h"
#include "member/session_state.h"

#include <chrono>

namespace teaselward
{

/** Lease of one session: tells when a heartbeat is due and when the peer counts as lost. */
class session_monitor
{
public:
    /**
     * Starts the lease.
     * @param lease silence of the peer after which it is lost
     * @param heartbeat own silence after which a heartbeat is due
     * @param now present time
     */
    session_monitor(std::chrono::milliseconds lease, std::chrono::milliseconds heartbeat, mono_time now);

    /**
     * Records bytes from the peer.
     * @param now present time
     */
    void recordReceived(mono_time now);

    /**
     * Records bytes to the peer.
     * @param now present time
     */
    void recordSent(mono_time now);

    /**
     * Checks the session. Call it several times within a lease: a longer gap between two checks means that this process was
     * paused, and what the peer sent meanwhile may still be unread, so the peer gets half a lease more.
     * @param now present time
     * @return what is to be done
     */
    session_state check(mono_time now);

private:
    std::chrono::milliseconds m_lease;
    std::chrono::milliseconds m_heartbeat;
    mono_time m_received;
    mono_time m_sent;
    mono_time m_checked;
};

} // namespace teaselward
