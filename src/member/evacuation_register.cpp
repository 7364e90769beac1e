#include "member/evacuation_register.h"

#include "core/evacuation_limits.h"

#include <cstddef>

namespace teaselward
{

// Two states with the same offset differ only if one of their readers could not read a record. Their union is kept, because a start in an
// evacuated domain costs more than an unused domain, and the next record replaces it.
evacuation_merge evacuation_register::merge(const evacuation_state &received)
{
    if (received.offset < m_state.offset) {
        return evacuation_merge::older;
    }
    if (received.offset == m_state.offset) {
        const std::size_t former = m_state.failureDomains.size();
        for (const std::string &domain : received.failureDomains) {
            if (m_state.failureDomains.size() < MaxEvacuatedDomains) {
                m_state.failureDomains.insert(domain);
            }
        }
        return m_state.failureDomains.size() > former ? evacuation_merge::changed : evacuation_merge::known;
    }
    const bool hasChanged = received.failureDomains != m_state.failureDomains;
    m_state = received;
    return hasChanged ? evacuation_merge::changed : evacuation_merge::advanced;
}

const evacuation_state &evacuation_register::state() const
{
    return m_state;
}

bool evacuation_register::isEvacuated(const std::string &domain) const
{
    return m_state.failureDomains.contains(domain);
}

} // namespace teaselward
