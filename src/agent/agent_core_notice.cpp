#include "agent/agent_core_private.h"

#include "agent/short_notice.h"
#include "core/concat.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <vector>

// Announced times of the endpoint: its stop, and the end of its warm-up.

namespace teaselward::detail
{

namespace
{

// The runs end with the endpoint; the bound only keeps the agent from waiting forever.
constexpr std::chrono::milliseconds NoticedDrainBound = std::chrono::minutes(5);

} // namespace

// The first notice opens the window for short tasks; the drain begins when it closes. Held starts would only lose time here.
void agent_core_private::onStopAnnounced(const stop_announced &event)
{
    m_window.announce(event.stopsAt, m_now);
    if (!m_drainEnd && !m_window.isOpen(m_now)) {
        closeWindow();
    }
    refuseAllHeld(
        [](const held_start & /*held*/) {
            return true;
        },
        reason::draining);
    stopRunsThatMiss(event.stopsAt);
}

bool agent_core_private::isLeaving() const
{
    return m_drainEnd.has_value() || m_window.isAnnounced();
}

void agent_core_private::closeWindow()
{
    onDrainStarted({.bound = NoticedDrainBound});
}

// Stops the runs that are not worth continuing. Their entries start the tasks elsewhere once the end of the runs is certain.
void agent_core_private::stopRunsThatMiss(mono_time stopsAt)
{
    std::vector<noticed_run> runs;
    for (const auto &[id, task] : m_running) {
        if (!task.isStopping) {
            runs.push_back({.id = id, .expected = task.expected, .startedAt = task.startedAt, .restartable = task.restartable});
        }
    }
    const auto remaining = std::chrono::duration_cast<std::chrono::microseconds>(stopsAt - m_now);
    const std::vector<task_id> stopped = short_notice::runsToStop(runs, remaining, m_now);
    if (m_log.isEnabled()) {
        m_log.write(log_part::agent,
                    concat("The endpoint has announced its stop. remaining_ms=",
                           std::chrono::duration_cast<std::chrono::milliseconds>(remaining).count(),
                           " running=",
                           runs.size(),
                           " stopped=",
                           stopped.size()));
    }
    for (const task_id &id : stopped) {
        stopRun(id, m_running.at(id), reason::draining);
    }
}

// Grants the slots that a step of the warm-up adds.
void agent_core_private::continueWarmUp()
{
    if (!m_warmUp.hasChanged(m_now)) {
        return;
    }
    if (m_log.isEnabled()) {
        m_log.write(log_part::agent, concat("The endpoint is warming up. percent=", std::lround(100 * m_warmUp.part(m_now)), " running=", m_running.size()));
    }
    startHeld();
    grant(m_credits.adjustAll(m_now), nullptr);
}

void agent_core_private::onWarmUpAnnounced(const warm_up_announced &event)
{
    m_warmUp.update(event.warmAt, m_now);
    updateSlots();
    continueWarmUp();
}

} // namespace teaselward::detail
