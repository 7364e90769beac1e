#pragma once

#include "scenario/event_heap.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <utility>
#include <vector>

namespace teaselward::testing
{

/** Process of the system in virtual time: one decision core that can be killed, restarted, paused and resumed. */
template<typename Core, typename Event, typename Action, typename TimerEvent>
class core_node
{
public:
    using perform_function = std::function<void(Action &)>;

    /**
     * Creates a node without a core.
     * @param heap virtual time
     * @param perform carries out the actions of the core
     */
    core_node(event_heap &heap, perform_function perform)
        : m_heap(heap)
        , m_perform(std::move(perform))
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
        m_inbox.clear();
        ++m_life;
        armTimer();
    }

    /** Ends the process; everything that it holds is lost. */
    void kill()
    {
        m_core.reset();
        m_inbox.clear();
        ++m_life;
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
        for (const Event &event : std::exchange(m_inbox, {})) {
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
    std::uint64_t life() const
    {
        return m_life;
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
            m_inbox.push_back(event);
            return;
        }
        std::vector<Action> actions;
        m_core->handle(event, m_heap.now(), actions);
        const auto life = m_life;
        for (Action &action : actions) {
            if (life != m_life) {
                return;
            }
            m_perform(action);
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
        const auto due = std::max<mono_time>(m_core->nextDue(), m_heap.now() + std::chrono::milliseconds(1));
        if (m_armedLife == m_life && m_armed <= due && m_armed > m_heap.now()) {
            return;
        }
        m_armed = due;
        m_armedLife = m_life;
        m_heap.add(due, [this, life = m_life, due] {
            fire(life, due);
        });
    }

    void fire(std::uint64_t life, mono_time due)
    {
        if (life != m_life || !m_core || m_paused || m_core->nextDue() > m_heap.now()) {
            if (life == m_life && due == m_armed) {
                m_armed = mono_time::min();
                if (!m_paused) {
                    armTimer();
                }
            }
            return;
        }
        m_armed = mono_time::min();
        deliver(TimerEvent{});
    }

    event_heap &m_heap;
    perform_function m_perform;
    std::unique_ptr<Core> m_core;
    std::vector<Event> m_inbox;
    std::uint64_t m_life = 0;
    std::uint64_t m_armedLife = 0;
    mono_time m_armed = mono_time::min();
    bool m_paused = false;
};

} // namespace teaselward::testing
