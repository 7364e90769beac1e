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
 * All decisions of an agent. It owns the ledger of starts and tombstones and the slots of its endpoint. It knows no socket,
 * no codec and no clock; one thread calls it.
 */
class agent_core
{
public:
    /**
     * Creates the state of a new incarnation, which holds no record of earlier ones.
     * @param settings what the agent is told at start
     * @param log receiver of the log lines; it must outlive the core
     */
    agent_core(const agent_core_settings &settings, logger &log);
    ~agent_core();

    agent_core(const agent_core &) = delete;
    agent_core &operator=(const agent_core &) = delete;

    /**
     * Applies an event.
     * @param event what happened
     * @param now present time; never less than in an earlier call
     * @param actions what the adapters are to do is appended here
     */
    void handle(const agent_event &event, mono_time now, std::vector<agent_action> &actions);

    /** @return instant at which the core wants an agent_timer_fired event */
    mono_time nextDue() const;

private:
    std::unique_ptr<detail::agent_core_private> d;
};

} // namespace teaselward
