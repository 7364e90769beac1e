#include "config/evacuation_feed.h"

#include "core/concat.h"

namespace teaselward
{

namespace
{

// Each attempt to store a copy may delay the next read, so there are few of them for one state.
constexpr int MaxCopyAttempts = 3;

} // namespace

evacuation_feed::evacuation_feed(route_source &source, bounded_ring<entry_event> &events, logger &log)
    : m_source(source)
    , m_events(events)
    , m_log(log)
{
}

evacuation_state &evacuation_feed::state()
{
    return m_state;
}

// An answer of the store may have been delayed, so an older state is not passed on.
void evacuation_feed::publish()
{
    const bool isNewer = m_state.offset > m_published.offset;
    if (!isNewer && (m_state.offset < m_published.offset || m_state == m_published)) {
        return;
    }
    if (m_state.failureDomains != m_published.failureDomains) {
        m_copyAttempts = 0;
    }
    m_published = m_state;
    m_events.push(evacuations_reported{.state = m_published, .source = evacuation_source::store});
}

void evacuation_feed::storeCopy()
{
    if (m_published.failureDomains == m_copied || m_copyAttempts >= MaxCopyAttempts) {
        return;
    }
    ++m_copyAttempts;
    if (const std::error_code error = m_source.storeCopy(m_published)) {
        m_log.write(log_part::config, concat("Cannot store a copy of the evacuations. offset=", m_published.offset, " error=", error.message()));
    } else {
        m_copied = m_published.failureDomains;
    }
}

void evacuation_feed::adoptCopy(const evacuation_state &copy)
{
    if (copy.offset > 0 && m_published.offset == 0) {
        m_events.push(evacuations_reported{.state = copy, .source = evacuation_source::copy});
    }
}

} // namespace teaselward
