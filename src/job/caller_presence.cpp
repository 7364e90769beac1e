#include "job/caller_presence.h"

#include <algorithm>

namespace teaselward
{

bool caller_presence::isRequired(const request_id &request)
{
    return request.origin == request_origin::platformClient;
}

void caller_presence::recordCheck(mono_time checkedAt, std::uint64_t lastRequest)
{
    m_checkedAt = checkedAt;
    m_lastRequest = lastRequest;
}

// A check covers the waiters with lower numbers: those found to have left were removed before it was recorded.
mono_time caller_presence::seenAt(const job_record &job) const
{
    if (!job.needsCaller) {
        return mono_time::max();
    }
    mono_time latest{};
    for (const job_waiter &waiter : job.waiters) {
        latest = std::max(latest, waiter.seenAt);
        if (isRequired(waiter.request) && waiter.request.number <= m_lastRequest) {
            latest = std::max(latest, m_checkedAt);
        }
    }
    return latest;
}

} // namespace teaselward
