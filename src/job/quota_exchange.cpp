#include "job/quota_exchange.h"

#include <chrono>
#include <utility>

namespace teaselward
{

namespace
{

// A peer that is lost for longer has been replaced or stopped. If no peer is left, the entry count is not reduced, since then
// this entry itself may be the one that is partitioned.
constexpr std::chrono::minutes LostPeerTimeout{1};

} // namespace

quota_exchange::quota_exchange(entry_context &context)
    : m_context(context)
{
}

void quota_exchange::addPeer(const entry_info &info)
{
    if (m_peers.empty()) {
        m_nextReport = m_context.now + m_context.settings.usageReportInterval;
    }
    m_peers[info.id] = info;
    setEntryCount(std::max(m_entryCount, m_peers.size() + 1));
}

void quota_exchange::removePeer(const entry_id &peer)
{
    m_peers.erase(peer);
    m_lostAt = m_context.now;
    if (m_peers.empty()) {
        m_nextReport = mono_time::max();
    }
}

void quota_exchange::recordUsage(const entry_id &peer, std::vector<team_usage> usage)
{
    m_context.queue.setPeerUsage(peer, std::move(usage), m_context.now);
}

void quota_exchange::runTimers()
{
    if (m_context.now < m_nextReport) {
        return;
    }
    m_nextReport = m_context.now + m_context.settings.usageReportInterval;
    m_context.actions->push_back(report_usage{.usage = m_context.queue.takeUsage()});
    if (m_entryCount > m_peers.size() + 1 && m_context.now - m_lostAt >= LostPeerTimeout) {
        setEntryCount(m_peers.size() + 1);
    }
}

mono_time quota_exchange::nextDue() const
{
    return m_nextReport;
}

std::vector<entry_info> quota_exchange::peers() const
{
    std::vector<entry_info> all;
    all.reserve(m_peers.size());
    for (const auto &[id, info] : m_peers) {
        all.push_back(info);
    }
    return all;
}

// Passes the number of entries to the queue if it has changed.
void quota_exchange::setEntryCount(std::size_t entries)
{
    if (entries != m_entryCount) {
        m_entryCount = entries;
        m_context.queue.setEntryCount(entries);
    }
}

} // namespace teaselward
