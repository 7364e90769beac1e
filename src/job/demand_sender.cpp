#include "job/demand_sender.h"

#include <algorithm>

namespace teaselward
{

namespace
{

// Delay of the first message after a start, which already carried the queue size. Credits that the agent grants in response arrive
// within 20 ms over any link of the region.
constexpr std::chrono::milliseconds MinInterval{20};

// One message per second keeps the agents informed while all slots stay busy.
constexpr std::chrono::milliseconds MaxInterval{1000};

} // namespace

demand_sender::demand_sender(entry_context &context)
    : m_context(context)
    , m_interval(MinInterval)
    , m_due(context.start)
{
}

void demand_sender::update(std::size_t placed, agent_directory &agents)
{
    if (placed > 0) {
        m_interval = MinInterval;
        m_due = m_context.now + m_interval;
        return;
    }
    if (m_context.queue.size() == 0 || m_context.now < m_due) {
        return;
    }
    if (const auto agent = agents.nextConnected(); agent) {
        m_context.actions->push_back(send_demand{.agent = *agent, .queued = static_cast<std::uint32_t>(m_context.queue.size())});
    }
    m_due = m_context.now + m_interval;
    m_interval = std::min(m_interval * 2, MaxInterval);
}

mono_time demand_sender::nextDue() const
{
    return m_context.queue.size() == 0 ? mono_time::max() : m_due;
}

} // namespace teaselward
