#include "agent/start_window.h"

#include "agent/short_notice.h"

#include <algorithm>

namespace teaselward
{

start_window::start_window(std::chrono::milliseconds length)
    : m_length(length)
{
}

void start_window::announce(mono_time stopsAt, mono_time now)
{
    m_stopsAt = stopsAt;
    if (!m_closesAt) {
        m_closesAt = now + m_length;
    }
}

void start_window::close()
{
    m_isClosed = true;
}

bool start_window::isAnnounced() const
{
    return m_closesAt.has_value();
}

bool start_window::isOpen(mono_time now) const
{
    return m_closesAt && !m_isClosed && now < *m_closesAt && now < m_stopsAt;
}

bool start_window::admits(std::chrono::microseconds expected, bool restartable, mono_time now) const
{
    if (!isOpen(now) || !restartable || expected.count() <= 0) {
        return false;
    }
    const noticed_run run{.id = {}, .expected = expected, .startedAt = now, .restartable = restartable};
    return short_notice::missProbability(run, std::chrono::duration_cast<std::chrono::microseconds>(m_stopsAt - now), now) <= MaxMissProbability;
}

mono_time start_window::nextDue() const
{
    return m_closesAt && !m_isClosed ? std::min(*m_closesAt, m_stopsAt) : mono_time::max();
}

} // namespace teaselward
