#include "config/rule_publisher.h"

#include "config/config_merge.h"
#include "config/effective_rules.h"

#include <algorithm>
#include <string>
#include <utility>

namespace teaselward
{

rule_publisher::rule_publisher(bounded_ring<entry_event> &events, const wall_clock &clock, logger &log)
    : m_events(events)
    , m_clock(clock)
    , m_log(log)
{
}

void rule_publisher::setFiles(const config_state &state)
{
    m_model = mergeFiles(state.files());
    m_offset = state.offset();
    m_hasFiles = true;
    m_isChanged = true;
}

// Rules are sent after each change of the files, even if it has no effect now, so that operators see which offset is active.
void rule_publisher::evaluate()
{
    const wall_time now = m_clock.now();
    const bool isDue = (m_boundary && now >= *m_boundary) || now < m_lastEvaluation;
    if (m_hasFiles && (m_isChanged || isDue)) {
        auto rules = std::make_shared<const rule_set>(effectiveRules(m_model, now, m_offset));
        if (m_isChanged || !haveSameRules(*rules, *m_current)) {
            m_current = std::move(rules);
            m_unsent = m_current;
        }
        m_isChanged = false;
        m_lastEvaluation = now;
        m_boundary = nextRuleChange(m_model, now);
    }
    send();
}

// While the ring is full, newer rules replace unsent older ones.
void rule_publisher::send()
{
    if (!m_unsent || !m_events.tryPush(rules_applied{.rules = m_unsent})) {
        return;
    }
    if (m_log.isEnabled()) {
        m_log.write(log_part::config,
                    "Activated rules. offset=" + std::to_string(m_unsent->offset) + " kinds=" + std::to_string(m_unsent->kinds.size())
                        + " teams=" + std::to_string(m_unsent->teams.size()));
    }
    m_unsent.reset();
}

bool rule_publisher::hasUnsent() const
{
    return m_unsent != nullptr;
}

std::optional<std::chrono::milliseconds> rule_publisher::timeToBoundary() const
{
    if (!m_boundary) {
        return std::nullopt;
    }
    return std::max(std::chrono::milliseconds(0), *m_boundary - m_clock.now());
}

} // namespace teaselward
