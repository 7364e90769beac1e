#pragma once

#include "base/clock.h"
#include "job/agent_directory.h"
#include "job/entry_context.h"

#include <chrono>
#include <cstddef>

namespace teaselward
{

/**
 * Informs agents that tasks are queued while this entry has no credit. Start messages already carry the queue size and a
 * separate message is overhead, so one is sent only if no start was sent recently, at intervals that grow exponentially.
 */
class demand_sender
{
public:
    /**
     * Creates a sender for an empty queue.
     * @param context state shared by the parts of the entry
     */
    explicit demand_sender(entry_context &context);

    /**
     * Sends the queue size to the next agent if a message is due. To be called after each placement pass.
     * @param placed number of tasks placed in that pass
     * @param agents the connected agents
     */
    void update(std::size_t placed, agent_directory &agents);

    /** @return time at which update() is due, or mono_time::max() if no task is queued */
    mono_time nextDue() const;

private:
    entry_context &m_context;
    std::chrono::milliseconds m_interval;
    mono_time m_due;
};

} // namespace teaselward
