#include "job/evacuation_exchange.h"

#include "core/concat.h"
#include "core/evacuation_text.h"

namespace teaselward
{

evacuation_exchange::evacuation_exchange(entry_context &context)
    : m_context(context)
{
}

bool evacuation_exchange::report(const evacuations_reported &event)
{
    const std::set<std::string> former = m_register.state().failureDomains;
    switch (m_register.merge(event.state)) {
    case evacuation_merge::older:
        answerOlder(event);
        return false;
    case evacuation_merge::known:
        return false;
    case evacuation_merge::advanced:
        send();
        return false;
    case evacuation_merge::changed:
        apply(event, former);
        send();
        return true;
    }
    return false;
}

void evacuation_exchange::apply(const evacuations_reported &event, const std::set<std::string> &former)
{
    const evacuation_state &state = m_register.state();
    if (m_context.log.isEnabled()) {
        m_context.log.write(log_part::member,
                            concat("Evacuated failure domains changed. domains=",
                                   evacuatedDomainsText(state),
                                   " offset=",
                                   state.offset,
                                   " from=",
                                   evacuationSourceText(event.source)));
        for (const std::string &domain : state.failureDomains) {
            if (!former.contains(domain) && m_context.slots.endpointsIn(domain) == 0) {
                m_context.log.write(log_part::member, concat("No connected endpoint is in an evacuated failure domain. domain=", domain));
            }
        }
    }
    m_context.slots.setEvacuated(state.failureDomains, m_context.now);
}

// A state without a change is sent as well while a domain is evacuated, so that no delayed message of another process is newer than what
// the receivers have.
void evacuation_exchange::send()
{
    m_isShared = m_isShared || !m_register.state().failureDomains.empty();
    if (m_isShared) {
        m_context.actions->push_back(send_evacuations{.state = m_register.state()});
    }
}

// The sender may have missed a change, for example because no entry that knew of it was connected to it.
void evacuation_exchange::answerOlder(const evacuations_reported &event) const
{
    if (event.state.failureDomains == m_register.state().failureDomains) {
        return;
    }
    if (event.source == evacuation_source::entry) {
        m_context.actions->push_back(send_evacuations{.state = m_register.state(), .peer = event.peer});
    } else if (event.source == evacuation_source::agent) {
        m_context.actions->push_back(send_evacuations{.state = m_register.state(), .agent = event.agent});
    }
}

std::size_t evacuation_exchange::domains() const
{
    return m_register.state().failureDomains.size();
}

} // namespace teaselward
