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
 * Loop of the decision thread: takes events from its ring, lets the core decide and hands the actions to the adapters. An
 * action whose ring is full is kept and tried again, so that the decision thread never waits for an adapter that may be
 * waiting for it.
 */
template<typename Core, typename Event, typename Action>
class decision_loop
{
public:
    /** Hands an action to its adapter; false if the ring is full, and then the action is not moved from. */
    using deliver_function = std::function<bool(Action &)>;

    /**
     * Prepares the loop.
     * @param core decisions that the loop owns the access to
     * @param events ring of the decision thread
     * @param timer timer that pushes a timer event into the ring
     * @param deliver hands an action to its adapter
     */
    decision_loop(Core &core, bounded_ring<Event> &events, one_shot_timer &timer, deliver_function deliver)
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
            const bool needsRetry = !m_undelivered.empty() || m_armed != m_core.nextDue();
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
    // Keeps the order of the actions: nothing overtakes an action that had to wait.
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

    void armTimer()
    {
        if (m_armed <= mono_clock::now()) {
            m_armed = mono_time::max(); // The timer has fired for this instant, so an unchanged one must be armed again.
        }
        const mono_time due = m_core.nextDue();
        if (due != m_armed && m_timer.arm(due)) {
            m_armed = due;
        }
    }

    // Delay before an action or an instant that did not fit into its ring is tried again.
    static constexpr std::chrono::milliseconds RetryDelay{1};

    Core &m_core;
    bounded_ring<Event> &m_events;
    one_shot_timer &m_timer;
    deliver_function m_deliver;
    std::deque<Action> m_undelivered;
    mono_time m_armed = mono_time::max();
};

} // namespace teaselward
