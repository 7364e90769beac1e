#include "agent/agent_core_private.h"

#include "core/concat.h"
#include "core/factor_text.h"

#include <chrono>
#include <utility>

// Watching which kinds slow each other.

namespace teaselward::detail
{

namespace
{

// An odd factor keeps tickets of different entries apart.
constexpr std::uint64_t TicketHashFactor = 0x9e3779b97f4a7c15ULL;

} // namespace

// Passes the start of a run to the monitor. Of the tasks of one job only one is compared, whatever their number is.
void agent_core_private::watchStart(running_task &task, const start_order &order, std::size_t others)
{
    if (!m_interference) {
        return;
    }
    const std::chrono::microseconds expected = order.expectedRun.count() > 0 ? order.expectedRun : order.estimate;
    const auto kind = expected.count() > 0 ? m_interference->kindIndex(order.kind, m_now) : std::nullopt;
    if (kind) {
        const std::uint64_t job = order.id.ticket.incarnation * TicketHashFactor + order.id.ticket.sequence;
        const std::uint64_t number = m_interference->started(*kind, job, expected, static_cast<std::uint32_t>(others), m_now);
        task.watch = {.kind = *kind, .number = number, .expected = expected};
    }
}

// Only a success shows how long the task runs; a run that failed or was stopped is not compared.
void agent_core_private::watchEnd(const running_task &task, const task_outcome &outcome)
{
    if (!task.watch) {
        return;
    }
    std::optional<double> ratio;
    if (outcome.verdict == task_verdict::succeeded) {
        ratio = std::chrono::duration<double>(outcome.runTime) / std::chrono::duration<double>(task.watch->expected);
    }
    reportInterference(m_interference->ended(task.watch->kind, task.watch->number, ratio, m_now));
}

void agent_core_private::reportInterference(const std::vector<interference_change> &changes)
{
    if (changes.empty()) {
        return;
    }
    if (m_log.isEnabled()) {
        for (const interference_change &one : changes) {
            m_log.write(log_part::agent,
                        concat(one.isDetected ? "A kind slows another one. slowed=" : "A kind no longer slows another one. slowed=",
                               one.pair.slowed,
                               " slowing=",
                               one.pair.slowing,
                               " factor=",
                               factorText(one.pair.factor),
                               " runs=",
                               one.pair.runs,
                               " in_force_ms=",
                               one.inForceFor.count()));
        }
    }
    m_actions->push_back(report_interference{.pairs = m_interference->pairs(), .entry = {}});
}

} // namespace teaselward::detail
