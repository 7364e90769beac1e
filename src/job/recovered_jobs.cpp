#include "job/recovered_jobs.h"

namespace teaselward
{

recovered_jobs::recovered_jobs(std::chrono::milliseconds lifetime, std::uint64_t maxBytes)
    : m_lifetime(lifetime)
    , m_maxBytes(maxBytes)
{
}

bool recovered_jobs::hasRoom() const
{
    return m_bytes < m_maxBytes;
}

const recovered_job *recovered_jobs::find(const ticket_id &ticket) const
{
    const auto found = m_jobs.find(ticket);
    return found == m_jobs.end() ? nullptr : &found->second;
}

void recovered_jobs::keep(const ticket_id &ticket, recovered_job job, mono_time now)
{
    m_bytes += job.answer.size();
    m_jobs.insert_or_assign(ticket, std::move(job));
    m_expiries.emplace_back(now + m_lifetime, ticket);
}

void recovered_jobs::expire(mono_time now)
{
    while (!m_expiries.empty() && m_expiries.front().first <= now) {
        const auto found = m_jobs.find(m_expiries.front().second);
        m_bytes -= found->second.answer.size();
        m_jobs.erase(found);
        m_expiries.pop_front();
    }
}

} // namespace teaselward
