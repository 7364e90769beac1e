#include "agent/agent_core_private.h"

#include "core/concat.h"
#include "core/task_text.h"

#include <chrono>

// Starts with and without a free slot.

namespace teaselward::detail
{

// Records the start and calls the endpoint; a slot has been taken for it.
void agent_core_private::run(const call_id &call, const entry_id &from, const start_order &order)
{
    m_ledger.recordStart(order.id);
    m_running[order.id].push_back({.call = call, .from = from, .session = m_sessions.current(from)});
    if (m_log.isEnabled()) {
        m_log.write(log_part::agent, concat("Started a task. ", taskText(order.id), " kind=", order.kind, " entry=", from.value));
    }
    m_actions->push_back(call_endpoint{.id = order.id, .kind = order.kind, .payload = order.payload, .timeLimit = order.timeLimit});
}

// Gives free slots to held starts. The time that a start was held counts against its limit.
void agent_core_private::runHeld()
{
    while (const auto entry = m_credits.takeHeld()) {
        auto start = m_held.takeFirst([&entry](const held_start &held) {
            return held.from == *entry;
        });
        start->order.timeLimit -= std::chrono::duration_cast<std::chrono::milliseconds>(m_now - start->since);
        run(start->call, start->from, start->order);
    }
}

// Answers a held start as not started and passes its credits on.
void agent_core_private::refuseHeld(const held_start &start, reason why)
{
    const std::int32_t credits = grant(m_credits.dropHeld(start.from, m_now), &start.from);
    refuseStart(start.call, start.from, start.order.id, why, credits);
    runHeld();
}

void agent_core_private::refuseAllHeld(const held_start_queue::filter &isRefused, reason why)
{
    for (const held_start &start : m_held.takeAll(isRefused)) {
        refuseHeld(start, why);
    }
}

// Forgets the held starts of a session that has ended. The entry revokes them, and nobody waits for an answer.
void agent_core_private::dropHeldOf(const entry_id &entry)
{
    const auto dropped = m_held.takeAll([&entry](const held_start &held) {
        return held.from == entry;
    });
    for (const held_start &start : dropped) {
        grant(m_credits.dropHeld(start.from, m_now), &start.from);
    }
}

} // namespace teaselward::detail
