#include "agent/agent_core_private.h"

#include "agent/expected_run.h"
#include "core/concat.h"
#include "core/task_log_fields.h"

#include <chrono>
#include <utility>

// Starting, holding and refusing tasks.

namespace teaselward::detail
{

// Records the start and calls the endpoint. A slot must have been taken for the task.
void agent_core_private::run(const call_id &call, const entry_id &from, const start_order &order)
{
    m_ledger.recordStart(order.id);
    m_resources.reserve(order.needs);
    m_breaker.started(m_now);
    if (order.highPriority) {
        m_reserve.started(order.needs, m_now);
    }
    const std::size_t others = m_running.size();
    running_task &task = m_running[order.id];
    task = {.calls = {{.call = call, .from = from, .session = m_sessions.current(from)}},
            .job = order.key,
            .kind = order.kind,
            .needs = order.needs,
            .expectedRun = order.expectedRun,
            .startedAt = m_now,
            .expected = expectedRun(order, m_factor.value()),
            .crashAge = order.crashAge,
            .highPriority = order.highPriority,
            .restartable = order.restartable,
            .isStopping = false};
    watchStart(task, order, others);
    if (m_log.isEnabled()) {
        m_log.write(log_part::agent, concat("Started a task. ", taskLogFields(order.id), " kind=", order.kind, " entry=", from.value, " job=", order.key));
    }
    call_endpoint action{
        .id = order.id, .kind = order.kind, .payload = order.payload, .timeLimit = order.timeLimit, .key = order.key, .estimate = order.estimate};
    if (order.restartable) {
        action.homeSession = m_sessions.current(from);
        action.homeConfirmedAt = m_sessions.confirmedAt(from);
    }
    m_actions->push_back(std::move(action));
}

// Checks whether a task fits beside the running tasks and the reserve for high-priority kinds.
bool agent_core_private::fits(const start_order &order)
{
    return (!order.restartable || m_breaker.admits(m_now)) && m_resources.fits(order.needs, order.highPriority ? 0 : m_reserve.unusedMillis(m_now));
}

// Runs held starts in free slots. The time that a start was held counts toward its time limit.
void agent_core_private::startHeld()
{
    while (auto start = takeHeld()) {
        const auto waited = std::chrono::duration_cast<std::chrono::milliseconds>(m_now - start->heldSince);
        start->order.timeLimit -= waited;
        run(start->call, start->from, start->order);
    }
}

// Removes the held start that gets the next free slot: the most urgent one or, if none has a due time, the oldest one of the
// entry with the fewest running tasks.
std::optional<held_start> agent_core_private::takeHeld()
{
    const auto isFitting = [this](const held_start &held) {
        return fits(held.order);
    };
    if (const held_start *urgent = m_held.mostUrgent(isFitting, m_now); urgent != nullptr) {
        if (!m_credits.takeHeldOf(urgent->from)) {
            return std::nullopt;
        }
        return m_held.takeFirst([urgent](const held_start &held) {
            return &held == urgent;
        });
    }
    const auto hasFitting = [this, &isFitting](const entry_id &entry) {
        return m_held.contains([&isFitting, &entry](const held_start &held) {
            return held.from == entry && isFitting(held);
        });
    };
    const auto entry = m_credits.takeHeld(hasFitting);
    if (!entry) {
        return std::nullopt;
    }
    return m_held.takeFirst([&entry, &isFitting](const held_start &held) {
        return held.from == *entry && isFitting(held);
    });
}

// Refuses a held start and sends the resulting credit changes.
void agent_core_private::refuseHeld(const held_start &start, reason why)
{
    const std::int32_t credits = grant(m_credits.dropHeld(start.from, m_now), &start.from);
    refuseStart(start.call, start.from, start.order.id, why, credits);
    startHeld();
}

void agent_core_private::refuseAllHeld(const held_start_queue::filter &isRefused, reason why)
{
    for (const held_start &start : m_held.takeAll(isRefused)) {
        refuseHeld(start, why);
    }
}

// Refuses the held starts so that the entries place them at other endpoints.
void agent_core_private::onBreakerOpened()
{
    if (m_log.isEnabled()) {
        m_log.write(log_part::agent, concat("Tasks fail or stall; refusing starts except trials. running=", m_running.size()));
    }
    refuseAllHeld(
        [](const held_start &held) {
            return held.order.restartable;
        },
        reason::noEndpoint);
}

// Drops the held starts of a closed session. The entry revokes them and waits for no answer.
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
