#include "chain/chain_simulation.h"

#include <algorithm>
#include <string>

namespace teaselward
{

namespace
{

using namespace std::chrono_literals;

constexpr std::chrono::milliseconds RetransmitDelay = 1300ms; // Time after which a caller submits its job again.
constexpr std::chrono::milliseconds RefusalDelay = 100ms; // The same after an answer that says "not run".
constexpr std::chrono::milliseconds AbandonCheckInterval = 200ms; // As in platform_front_end.
constexpr int MaxSubmissions = 6;
constexpr std::size_t MaxTasks = 4;
constexpr std::chrono::milliseconds CallerLimit = 6s;

// One task in four runs for seconds, so that it can outlast the time until a caller submits its job again.
constexpr double LongTasks = 0.25;

} // namespace

void chain_simulation::addJob()
{
    chain_job job;
    const bool isLong = m_random.chance(LongTasks);
    const auto work = isLong ? m_random.between(1s, 4s) : m_random.between(30ms, 800ms);
    job.request.kind = "check";
    job.request.key = std::to_string(m_jobs.size());
    job.request.timeLimit = CallerLimit;
    job.request.payloads.assign(1 + m_random.below(MaxTasks), std::to_string(work.count()));
    job.request.needs = {.cpuMillis = 3000, .memoryMb = 64, .gpus = 0};
    job.request.estimate = std::chrono::ceil<std::chrono::milliseconds>(work);
    m_jobs.push_back(std::move(job));
    submit(m_jobs.size() - 1, m_random.below(Entries));
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
    m_timeline.after(m_random.between(300us, 900us), [this, entry, request, message = one.request] {
        m_entries[entry]->handle(keyed_job_submitted{.request = request, .job = message});
    });
    m_timeline.after(CallerLimit + 100ms, [this, job, number = request.number] {
        if (m_jobs[job].open == number) {
            breakConnection(job, true);
        }
    });
}

void chain_simulation::submitAgain(std::size_t job, std::chrono::milliseconds delay)
{
    if (m_jobs[job].submissions >= MaxSubmissions) {
        return;
    }
    const std::size_t entry = (m_jobs[job].entry + 1 + m_random.below(Entries - 1)) % Entries;
    m_timeline.after(delay, [this, job, entry] {
        submit(job, entry);
    });
}

// The caller sees a broken connection at once. The entry sees it at its next check.
void chain_simulation::breakConnection(std::size_t job, bool isSeenByEntry)
{
    const std::uint64_t number = std::exchange(m_jobs[job].open, 0);
    if (number == 0) {
        return;
    }
    const std::size_t entry = m_requests.at(number).entry;
    m_requests.erase(number);
    if (isSeenByEntry) {
        m_entries[entry]->process().wake(process_lane::rpc, m_random.between(0us, AbandonCheckInterval), [this, entry, number] {
            m_entries[entry]->handle(request_abandoned{.request = {.origin = request_origin::platformClient, .number = number}});
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
