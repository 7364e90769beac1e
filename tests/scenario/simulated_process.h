#pragma once

#include "scenario/event_queue.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <utility>
#include <vector>

namespace teaselward::testing
{

/** Entry or agent process in virtual time: a decision core that can be killed, restarted, paused and resumed. */
template<typename Core, typename Event, typename Action, typename TimerEvent>
class simulated_process
{
public:
    using action_handler = std::function<void(Action &)>;

    /**
     * Creates a process that is not running.
     * @param queue virtual clock, on which the timer of the core runs
     * @param onAction performs an action of the core
     */
    simulated_process(event_queue &queue, action_handler onAction)
        : m_queue(queue)
        , m_onAction(std::move(onAction))
    {
    }

    /**
     * Starts the process.
     * @param core its decision core
     */
    void start(std::unique_ptr<Core> core)
    {
        m_core = std::move(core);
        m_paused = false;
        m_pendingEvents.clear();
        ++m_epoch;
        armTimer();
    }

    /** Ends the process without a shutdown; its state and its pending events are lost. */
    void kill()
    {
        m_core.reset();
        m_pendingEvents.clear();
        ++m_epoch;
    }

    /** Suspends the process as SIGSTOP does: events queue up while time passes. */
    void pause()
    {
        m_paused = true;
    }

    /** Resumes the process and delivers the events that queued up. */
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

    /** @return counter of starts and kills; code that runs later compares it to detect a restart */
    std::uint64_t epoch() const
    {
        return m_epoch;
    }

    /**
     * Hands an event to the core and performs the resulting actions. While the process is paused, the event is queued.
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
        // At least 1 ms ahead: virtual time would never advance if a core kept returning a due time in the past. Real timers fire late too.
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
