#pragma once

#include "base/clock.h"
#include "job/agent_directory.h"
#include "job/entry_context.h"

#include <chrono>
#include <cstddef>

namespace teaselward
{

/**
 * Tells agents that tasks wait while this entry holds no credit. Every such message is a wasted one, and starts carry the
 * size of the queue as well, so it is sent only when no start has left for a while, and ever more rarely.
 */
class demand_sender
{
public:
    /**
     * Creates the state without demand.
     * @param context what the parts of the entry share
     */
    explicit demand_sender(entry_context &context);

    /**
     * Sends the demand if it is due. It is called after placement.
     * @param placed number of tasks just placed
     * @param agents the connected agents
     */
    void update(std::size_t placed, agent_directory &agents);

    /** @return instant at which update() is due, or the greatest one if no task waits */
    mono_time nextDue() const;

private:
    entry_context &m_context;
    std::chrono::milliseconds m_interval;
    mono_time m_due;
};

} // namespace teaselward
