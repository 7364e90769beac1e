#include "chain/simulated_front_end.h"

#include <algorithm>
#include <chrono>
#include <utility>

namespace teaselward
{

namespace
{

using namespace std::chrono_literals;

constexpr std::chrono::milliseconds CheckInterval = 200ms; // As in platform_front_end.

} // namespace

simulated_front_end::simulated_front_end(virtual_timeline &timeline, simulated_process &process, std::function<void(const entry_event &event)> post)
    : m_timeline(timeline)
    , m_process(process)
    , m_post(std::move(post))
{
}

void simulated_front_end::start()
{
    m_connections.clear();
    m_process.wake(process_lane::connectionCheck, CheckInterval, [this] {
        check();
    });
}

void simulated_front_end::receive(const request_id &request, const job_request &job)
{
    m_connections[request.number] = {};
    m_process.post(process_lane::listener, 0us, [this, request, job] {
        read(request, job);
    });
}

void simulated_front_end::read(const request_id &request, const job_request &job)
{
    const auto found = m_connections.find(request.number);
    if (found == m_connections.end() || found->second.isClosed) {
        return;
    }
    found->second.isRead = true;
    m_lastRead = std::max(m_lastRead, request.number);
    m_post(keyed_job_submitted{.request = request, .job = job, .callerSeenAt = m_timeline.now()});
}

void simulated_front_end::check()
{
    bool isAnyWaiting = false;
    for (auto &[number, one] : m_connections) {
        isAnyWaiting = isAnyWaiting || one.isRead;
        if (one.isRead && one.isClosed && !std::exchange(one.isReported, true)) {
            m_post(request_abandoned{.request = {.origin = request_origin::platformClient, .number = number}});
        }
    }
    if (isAnyWaiting) {
        m_post(callers_checked{.checkedAt = m_timeline.now(), .lastRequest = m_lastRead});
    }
    m_process.wake(process_lane::connectionCheck, CheckInterval, [this] {
        check();
    });
}

void simulated_front_end::disconnect(std::uint64_t number)
{
    if (const auto found = m_connections.find(number); found != m_connections.end()) {
        found->second.isClosed = true;
    }
}

void simulated_front_end::finish(std::uint64_t number)
{
    m_connections.erase(number);
}

} // namespace teaselward
