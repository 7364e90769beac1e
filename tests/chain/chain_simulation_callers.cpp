#include "chain/chain_simulation.h"

#include <algorithm>
#include <string>

namespace teaselward
{

namespace
{

using namespace std::chrono_literals;

// Time that the bytes of a caller travel. The end of a connection arrives after them.
constexpr std::chrono::microseconds MinDelay = 300us;
constexpr std::chrono::microseconds MaxDelay = 900us;

constexpr std::chrono::milliseconds RetransmitDelay = 1300ms; // Time after which a caller submits its job again.
constexpr std::chrono::milliseconds RefusalDelay = 100ms; // The same after an answer that says "not run".
constexpr int MaxSubmissions = 6;
constexpr std::chrono::milliseconds MaxCallerDelay = 100ms; // Time after its limit at which a caller closes its connection.

} // namespace

void chain_simulation::addJob()
{
    const bool isLong = m_random.chance(m_callers.longTasks);
    const auto work = isLong ? m_random.between(m_callers.minWork, m_callers.maxWork) : m_random.between(30ms, 800ms);
    submit(addJob(work, m_callers.limit, 1 + m_random.below(m_callers.maxTasks)), m_random.below(m_site.entries));
}

// Adds a job without submitting it. Returns its position.
std::size_t chain_simulation::addJob(std::chrono::microseconds work, std::chrono::milliseconds limit, std::size_t tasks)
{
    chain_job job;
    job.request.kind = "check";
    job.request.key = std::to_string(m_jobs.size());
    job.request.timeLimit = limit;
    job.request.payloads.assign(tasks, std::to_string(work.count()));
    job.request.needs = {.cpuMillis = 3000, .memoryMb = 64, .gpus = 0};
    job.request.estimate = std::chrono::ceil<std::chrono::milliseconds>(work);
    m_jobs.push_back(std::move(job));
    return m_jobs.size() - 1;
}

// A caller that cannot connect treats this like a broken connection.
void chain_simulation::submit(std::size_t job, std::size_t entry)
{
    chain_job &one = m_jobs[job];
    m_resubmissions += one.submissions > 0 ? 1 : 0;
    ++one.submissions;
    one.entry = entry;
    if (!m_entries[entry]->process().isAlive()) {
        submitAgain(job, RetransmitDelay);
        return;
    }
    const request_id request{.origin = request_origin::platformClient, .number = ++m_lastRequest};
    one.open = request.number;
    m_requests[request.number] = {.job = job, .entry = entry};
    m_timeline.after(m_random.between(MinDelay, MaxDelay), [this, entry, request, message = one.request] {
        m_entries[entry]->frontEnd().receive(request, message);
    });
    m_timeline.after(one.request.timeLimit + MaxCallerDelay, [this, job, number = request.number] {
        if (m_jobs[job].open == number) {
            breakConnection(job, true);
        }
    });
}

void chain_simulation::submitAgain(std::size_t job, std::chrono::milliseconds delay)
{
    if (!m_callers.submitsAgain || m_jobs[job].submissions >= MaxSubmissions) {
        return;
    }
    const std::size_t entry = (m_jobs[job].entry + 1 + m_random.below(m_site.entries - 1)) % m_site.entries;
    m_timeline.after(delay, [this, job, entry] {
        submit(job, entry);
    });
}

// The caller sees a broken connection at once. The entry sees it when it next looks at the connection.
void chain_simulation::breakConnection(std::size_t job, bool isSeenByEntry)
{
    const std::uint64_t number = std::exchange(m_jobs[job].open, 0);
    if (number == 0) {
        return;
    }
    const std::size_t entry = m_requests.at(number).entry;
    m_requests.erase(number);
    if (isSeenByEntry) {
        m_timeline.after(MaxDelay, [this, entry, number] {
            m_entries[entry]->frontEnd().disconnect(number);
        });
    }
    submitAgain(job, RetransmitDelay);
}

void chain_simulation::answered(const request_id &request, const job_answer &answer)
{
    const auto found = m_requests.find(request.number);
    if (found == m_requests.end()) {
        return;
    }
    const std::size_t job = found->second.job;
    m_requests.erase(found);
    m_jobs[job].open = 0;
    if (answer.state == job_state::complete) {
        m_jobs[job].isComplete = true;
    } else {
        submitAgain(job, answer.notRun ? RefusalDelay : RetransmitDelay);
    }
}

std::size_t chain_simulation::completeJobs() const
{
    return static_cast<std::size_t>(std::ranges::count(m_jobs, true, &chain_job::isComplete));
}

} // namespace teaselward
