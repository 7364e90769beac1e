#include "agent/agent_core_private.h"

#include "core/concat.h"
#include "core/evacuation_text.h"

#include <chrono>

// Evacuation of the endpoint's failure domain.

namespace teaselward::detail
{

namespace
{

// Time that entries have to send a withdrawn request themselves, so that the agent informs only those that the store and their peers have
// not reached. The domain is to be in use again after 2 s.
constexpr std::chrono::milliseconds WithdrawalDelay{1000};

} // namespace

// Running tasks continue; held starts are returned, so that their entries place them elsewhere at once.
void agent_core_private::onEvacuationsReceived(const evacuations_received &event)
{
    m_sessions.setEvacuationOffset(event.from, event.state.offset);
    const bool wasEvacuated = m_evacuations.isEvacuated(m_failureDomain);
    if (m_evacuations.merge(event.state) != evacuation_merge::changed) {
        return;
    }
    const bool isEvacuated = m_evacuations.isEvacuated(m_failureDomain);
    if (m_log.isEnabled()) {
        const evacuation_state &state = m_evacuations.state();
        m_log.write(log_part::agent,
                    concat("Evacuated failure domains changed. domains=",
                           evacuatedDomainsText(state),
                           " offset=",
                           state.offset,
                           " from=",
                           event.from.value,
                           " own=",
                           m_failureDomain,
                           " refusing=",
                           isEvacuated,
                           " running=",
                           m_running.size()));
    }
    if (wasEvacuated && !isEvacuated) {
        m_withdrawalDue = m_now + WithdrawalDelay;
    }
    if (isEvacuated && !wasEvacuated) {
        for (const held_start &start : m_held.takeAll([](const held_start & /*held*/) {
                 return true;
             })) {
            reportEvacuations(start.from);
            refuseHeld(start, reason::evacuated);
        }
    }
}

// An entry that has missed the withdrawal sends no starts here, so no refusal would inform it. Entries that have never had a state need
// none.
void agent_core_private::reportWithdrawal()
{
    if (!m_withdrawalDue || m_now < *m_withdrawalDue) {
        return;
    }
    m_withdrawalDue.reset();
    for (const entry_id &entry : m_sessions.entries()) {
        if (m_sessions.evacuationOffset(entry) > 0) {
            reportEvacuations(entry);
        }
    }
}

// The state is sent before the answer, so that the entry knows it when it places the task again. Once for each state and session: the
// entry may already be informed, and all its starts in transit are refused.
void agent_core_private::reportEvacuations(const entry_id &entry)
{
    const evacuation_state &state = m_evacuations.state();
    if (m_sessions.current(entry) == 0 || m_sessions.evacuationOffset(entry) >= state.offset) {
        return;
    }
    m_sessions.setEvacuationOffset(entry, state.offset);
    m_actions->push_back(report_evacuations{.entry = entry, .state = state});
}

void agent_core_private::refuseEvacuated(const start_received &event, std::int32_t credits)
{
    reportEvacuations(event.from);
    refuseStart(event.call, event.from, event.order.id, reason::evacuated, credits);
}

} // namespace teaselward::detail
