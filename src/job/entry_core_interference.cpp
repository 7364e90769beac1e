#include "job/entry_core_private.h"

#include "core/concat.h"
#include "core/factor_text.h"

// Separating kinds that slow each other.

namespace teaselward::detail
{

void entry_core_private::onInterferenceReported(const interference_reported &event)
{
    setInterference(event.agent, event.pairs);
}

// Replaces the report of an agent; that of an agent without a session is empty.
void entry_core_private::setInterference(const agent_id &agent, const std::vector<kind_pair> &pairs)
{
    if (!m_context.settings.separateKinds) {
        return;
    }
    m_context.interference.report(agent, pairs);
    const auto changes = m_context.interference.update(m_context.slots.agents().size());
    if (m_context.log.isEnabled()) {
        for (const interference_table::change &one : changes) {
            m_context.log.write(log_part::place,
                                concat(one.isAccepted ? "Separating kinds. slowed=" : "No longer separating kinds. slowed=",
                                       one.slowed,
                                       " slowing=",
                                       one.slowing,
                                       " factor=",
                                       factorText(one.factor),
                                       " agents=",
                                       one.agents));
        }
    }
    m_context.slots.setSeparated(m_context.interference.pairs() > 0, m_context.now);
}

} // namespace teaselward::detail
