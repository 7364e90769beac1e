#pragma once

#include "agent/agent_action.h"
#include "agent/agent_core_settings.h"
#include "agent/agent_event.h"
#include "base/clock.h"
#include "log/logger.h"

#include <cstdint>
#include <memory>
#include <vector>

namespace teaselward
{

namespace detail
{
class agent_core_private;
}

/**
 * Decision logic of an agent. Owns the ledger of starts and tombstones and the slots of the endpoint. It does no I/O and reads
 * no clock: events and times are passed in, actions are returned. One thread calls it.
 */
class agent_core
{
public:
    /**
     * Creates the state of a new incarnation, which holds no records of earlier ones.
     * @param settings settings that stay fixed for the lifetime of the agent
     * @param log log of decisions; must outlive the core
     */
    agent_core(const agent_core_settings &settings, logger &log);
    ~agent_core();

    agent_core(const agent_core &) = delete;
    agent_core &operator=(const agent_core &) = delete;

    /**
     * Handles an event.
     * @param event the event
     * @param now current time; must not decrease between calls
     * @param actions receives the resulting actions in order; they are appended
     */
    void handle(const agent_event &event, mono_time now, std::vector<agent_action> &actions);

    /** @return time at which an agent_timer_fired event is due; the maximum if none is needed */
    mono_time nextDue() const;

private:
    std::unique_ptr<detail::agent_core_private> d;
};

} // namespace teaselward
