#include "member/session_monitor.h"

#include <algorithm>
#include <utility>

namespace teaselward
{

session_monitor::session_monitor(std::chrono::milliseconds lease, std::chrono::milliseconds heartbeat, mono_time now)
    : m_lease(lease)
    , m_heartbeat(heartbeat)
    , m_received(now)
    , m_sent(now)
    , m_checked(now)
{
}

void session_monitor::recordReceived(mono_time now)
{
    m_received = std::max(m_received, now);
    m_isExtended = false;
}

void session_monitor::recordSent(mono_time now)
{
    m_sent = std::max(m_sent, now);
}

// Half a lease is far longer than the regular interval between checks.
session_state session_monitor::check(mono_time now)
{
    const std::chrono::milliseconds half = m_lease / 2;
    if (now - m_checked > half && !std::exchange(m_isExtended, true)) {
        m_received = std::max(m_received, now - half);
    }
    m_checked = now;
    if (now - m_received > m_lease) {
        return session_state::expired;
    }
    return now - m_sent >= m_heartbeat ? session_state::heartbeatDue : session_state::alive;
}

} // namespace teaselward
