#pragma once

#include "base/bounded_ring.h"
#include "base/clock.h"
#include "base/one_shot_timer.h"

#include <chrono>
#include <cstddef>
#include <deque>
#include <functional>
#include <utility>
#include <vector>

namespace teaselward
{

/**
 * Loop of the decision thread: pops events from its ring, passes them to the core and delivers the resulting actions to the
 * adapters. An action whose ring is full is kept and retried. The thread never blocks on an adapter, because the adapter may
 * itself be blocked on the full event ring, and the two would deadlock.
 */
template<typename Core, typename Event, typename Action, typename Timer = one_shot_timer>
class decision_loop
{
public:
    /** Passes an action to its adapter; returns false, without moving from the action, if the adapter's ring is full. */
    using deliver_function = std::function<bool(Action &)>;

    /**
     * Creates the loop; run() starts it.
     * @param core makes the decisions; only the thread of the loop may use it
     * @param events ring of the decision thread
     * @param timer timer that pushes a timer event into the ring
     * @param deliver passes an action to its adapter
     */
    decision_loop(Core &core, bounded_ring<Event> &events, Timer &timer, deliver_function deliver)
        : m_core(core)
        , m_events(events)
        , m_timer(timer)
        , m_deliver(std::move(deliver))
    {
    }

    /** Runs until the ring is closed and empty. */
    void run()
    {
        std::vector<Action> actions;
        while (true) {
            const bool needsRetry = !m_undelivered.empty() || m_core.nextDue() < m_armed;
            auto event = needsRetry ? m_events.popUntil(mono_clock::now() + RetryDelay) : m_events.pop();
            if (!event && m_events.isFinished()) {
                return;
            }
            if (event) {
                m_core.handle(*event, mono_clock::now(), actions);
            }
            deliverAll(actions);
            armTimer();
        }
    }

private:
    // Delivers the actions in order: one whose ring is full holds back all later ones.
    void deliverAll(std::vector<Action> &actions)
    {
        for (Action &action : actions) {
            m_undelivered.push_back(std::move(action));
        }
        actions.clear();
        while (!m_undelivered.empty() && m_deliver(m_undelivered.front())) {
            m_undelivered.pop_front();
        }
    }

    // Arms the timer for an earlier time only. Most events move the next due time, usually to a later one, and each change would wake the
    // thread of the timer; an early timer event costs less.
    void armTimer()
    {
        if (m_armed <= mono_clock::now()) {
            m_armed = mono_time::max(); // The timer has fired; the same time point, if still due, must be armed again.
        }
        const mono_time due = m_core.nextDue();
        if (due < m_armed && m_timer.arm(due)) {
            m_armed = due;
        }
    }

    // Delay before an action or a timer setting that was not accepted is retried.
    static constexpr std::chrono::milliseconds RetryDelay{1};

    Core &m_core;
    bounded_ring<Event> &m_events;
    Timer &m_timer;
    deliver_function m_deliver;
    std::deque<Action> m_undelivered;
    mono_time m_armed = mono_time::max();
};

} // namespace teaselward
