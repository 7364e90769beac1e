#include "agent/run/endpoint_watch.h"

#include <utility>

namespace teaselward
{

endpoint_watch::endpoint_watch(std::string service)
    : m_service(std::move(service))
{
}

announcement_effect endpoint_watch::applyHeartbeat(const endpoint_announcement &announcement)
{
    if (!m_service.empty() && announcement.service != m_service) {
        return announcement_effect::unchanged;
    }
    const bool isSameInstance = m_current && m_current->id == announcement.id && m_current->endpointStart == announcement.endpointStart;
    if (isSameInstance && announcement.sequence <= m_current->sequence) {
        return announcement_effect::unchanged;
    }
    // A network partition may have delayed a heartbeat of an earlier instance.
    if (m_current && !isSameInstance && announcement.endpointStart < m_current->endpointStart) {
        return announcement_effect::unchanged;
    }
    const bool startsToDrain = announcement.isDraining && !(isSameInstance && m_current->isDraining);
    const bool isResized = isSameInstance && announcement.capacity != m_current->capacity;
    m_current = announcement;
    if (!isSameInstance || !m_isAdopted) {
        m_isAdopted = !announcement.isDraining;
        return m_isAdopted ? announcement_effect::adopt : announcement_effect::unchanged;
    }
    if (startsToDrain) {
        return announcement_effect::drain; // A change of the capacity at the same time no longer matters: there are no further starts.
    }
    return isResized ? announcement_effect::resize : announcement_effect::unchanged;
}

bool endpoint_watch::applyStop(std::string_view id)
{
    if (!m_current || m_current->id != id) {
        return false;
    }
    m_isAdopted = false;
    return true;
}

void endpoint_watch::markConfirmed()
{
    m_confirmed = m_current;
}

void endpoint_watch::markLost()
{
    m_isAdopted = false;
    const bool isConfirmed = m_current && m_confirmed && m_confirmed->id == m_current->id && m_confirmed->endpointStart == m_current->endpointStart;
    if (!isConfirmed) {
        m_current = m_confirmed;
    }
}

const std::optional<endpoint_announcement> &endpoint_watch::current() const
{
    return m_current;
}

} // namespace teaselward
