#pragma once

#include "scenario/event_queue.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <utility>
#include <vector>

namespace teaselward::testing
{

/** Process of the system in virtual time: one decision core that can be killed, restarted, paused and resumed. */
template<typename Core, typename Event, typename Action, typename TimerEvent>
class simulated_process
{
public:
    using action_handler = std::function<void(Action &)>;

    /**
     * Creates a node without a core.
     * @param queue virtual time
     * @param onAction carries out the actions of the core
     */
    simulated_process(event_queue &queue, action_handler onAction)
        : m_queue(queue)
        , m_onAction(std::move(onAction))
    {
    }

    /**
     * Starts a new incarnation.
     * @param core decisions of the incarnation
     */
    void start(std::unique_ptr<Core> core)
    {
        m_core = std::move(core);
        m_paused = false;
        m_pendingEvents.clear();
        ++m_epoch;
        armTimer();
    }

    /** Ends the process; everything that it holds is lost. */
    void kill()
    {
        m_core.reset();
        m_pendingEvents.clear();
        ++m_epoch;
    }

    /** Stops the process as SIGSTOP does: events wait in its ring while time passes. */
    void pause()
    {
        m_paused = true;
    }

    /** Lets the process go on with the events that have waited. */
    void resume()
    {
        m_paused = false;
        for (const Event &event : std::exchange(m_pendingEvents, {})) {
            deliver(event);
        }
        armTimer();
    }

    bool isAlive() const
    {
        return m_core != nullptr;
    }

    bool isPaused() const
    {
        return m_paused;
    }

    /** @return number that changes with each start and kill */
    std::uint64_t epoch() const
    {
        return m_epoch;
    }

    /**
     * Hands an event to the core, or keeps it while the process is paused.
     * @param event the event
     */
    void deliver(const Event &event)
    {
        if (!m_core) {
            return;
        }
        if (m_paused) {
            m_pendingEvents.push_back(event);
            return;
        }
        std::vector<Action> actions;
        m_core->handle(event, m_queue.now(), actions);
        const auto epoch = m_epoch;
        for (Action &action : actions) {
            if (epoch != m_epoch) {
                return;
            }
            m_onAction(action);
        }
        armTimer();
    }

private:
    void armTimer()
    {
        if (!m_core || m_core->nextDue() == mono_time::max()) {
            return;
        }
        // A timer of the real process fires late as well; the step keeps a core that asks for the past from stopping the time.
        const auto due = std::max<mono_time>(m_core->nextDue(), m_queue.now() + std::chrono::milliseconds(1));
        if (m_armedEpoch == m_epoch && m_armedDue <= due && m_armedDue > m_queue.now()) {
            return;
        }
        m_armedDue = due;
        m_armedEpoch = m_epoch;
        m_queue.schedule(due, [this, epoch = m_epoch, due] {
            onTimer(epoch, due);
        });
    }

    void onTimer(std::uint64_t epoch, mono_time due)
    {
        if (epoch != m_epoch || !m_core || m_paused || m_core->nextDue() > m_queue.now()) {
            if (epoch == m_epoch && due == m_armedDue) {
                m_armedDue = mono_time::min();
                if (!m_paused) {
                    armTimer();
                }
            }
            return;
        }
        m_armedDue = mono_time::min();
        deliver(TimerEvent{});
    }

    event_queue &m_queue;
    action_handler m_onAction;
    std::unique_ptr<Core> m_core;
    std::vector<Event> m_pendingEvents;
    std::uint64_t m_epoch = 0;
    std::uint64_t m_armedEpoch = 0;
    mono_time m_armedDue = mono_time::min();
    bool m_paused = false;
};

} // namespace teaselward::testing
