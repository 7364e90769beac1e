#pragma once

#include "base/clock.h"
#include "member/session_state.h"

#include <chrono>

namespace teaselward
{

/** Lease of one session: determines when a heartbeat is due and when the peer is considered lost. */
class session_monitor
{
public:
    /**
     * Starts the lease.
     * @param lease time without data from the peer after which it is lost
     * @param heartbeat time without data to the peer after which a heartbeat is due
     * @param now current time
     */
    session_monitor(std::chrono::milliseconds lease, std::chrono::milliseconds heartbeat, mono_time now);

    /**
     * Records that data was received from the peer.
     * @param now current time
     */
    void recordReceived(mono_time now);

    /**
     * Records that data was sent to the peer.
     * @param now current time
     */
    void recordSent(mono_time now);

    /**
     * Checks the session. Must be called several times per lease: a longer gap between two checks means that this process was
     * paused and that data from the peer may still be unread, so the peer gets another half lease. It gets that only once until data
     * is received, so that the lease of a silent peer ends however often this process is paused.
     * @param now current time
     * @return state of the session
     */
    session_state check(mono_time now);

private:
    std::chrono::milliseconds m_lease;
    std::chrono::milliseconds m_heartbeat;
    mono_time m_received;
    mono_time m_sent;
    mono_time m_checked;
    bool m_isExtended = false; ///< The peer got another half lease since data was last received.
};

} // namespace teaselward
