#include "agent/run/endpoint_watch.h"

#include <utility>

namespace teaselward
{

endpoint_watch::endpoint_watch(std::string service)
    : m_service(std::move(service))
{
}

bool endpoint_watch::isSameInstance(const std::optional<endpoint_announcement> &known, const endpoint_announcement &announcement)
{
    return known && known->id == announcement.id && known->endpointStart == announcement.endpointStart;
}

// An instance that drains when it is announced first is not served, so it does not take the place of the current one: its heartbeat may
// come from another writer, and would make those of the endpoint look like those of an earlier instance.
announcement_effect endpoint_watch::applyHeartbeat(const endpoint_announcement &announcement)
{
    if (!m_service.empty() && announcement.service != m_service) {
        return announcement_effect::unchanged;
    }
    const bool isCurrent = isSameInstance(m_current, announcement);
    const auto &latest = isCurrent ? m_current : m_notServed;
    if (isSameInstance(latest, announcement) && announcement.sequence <= latest->sequence) {
        return announcement_effect::unchanged;
    }
    // A network partition may have delayed a heartbeat of an earlier instance.
    if (m_current && !isCurrent && announcement.endpointStart < m_current->endpointStart) {
        return announcement_effect::unchanged;
    }
    if (!isCurrent && announcement.isDraining) {
        m_notServed = announcement;
        return announcement_effect::unchanged;
    }
    const bool startsToDrain = announcement.isDraining && !m_current->isDraining;
    const bool hasTimes = announcement.remaining || announcement.coldRemaining.count() > 0 || (isCurrent && m_current->coldRemaining.count() > 0);
    const bool isResized = isCurrent && announcement.capacity != m_current->capacity;
    m_current = announcement;
    if (!isCurrent || !m_isAdopted) {
        m_isAdopted = !announcement.isDraining;
        return m_isAdopted ? announcement_effect::adopt : announcement_effect::unchanged;
    }
    if (startsToDrain) {
        return announcement_effect::drain; // A change of the capacity at the same time no longer matters: there are no further starts.
    }
    if (isResized) {
        return announcement_effect::resize;
    }
    return hasTimes ? announcement_effect::retime : announcement_effect::unchanged;
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
