#include "job/overload_simulation.h"

#include <algorithm>
#include <iterator>
#include <random>
#include <utility>

// Crashes of endpoints.

namespace teaselward
{

namespace
{

using std::chrono::microseconds;

constexpr microseconds MinDetectionDelay{2000}; // A refused connection shows the crash.
constexpr microseconds MaxDetectionDelay{7000};
constexpr microseconds CloseDelay{500}; // Time until the entries see that a connection was closed.

} // namespace

// The runs end at once, but the agent learns of it only at the detection.
void overload_simulation::crash(std::size_t endpoint, std::chrono::milliseconds downTime)
{
    simulated_endpoint &one = m_endpoints.at(endpoint);
    if (one.state != endpoint_state::up) {
        return;
    }
    one.state = endpoint_state::crashed;
    one.freeMillis = 0;
    m_maxDown = std::max(m_maxDown, ++m_down);
    std::erase_if(m_runs, [this, endpoint, &one](const auto &run) {
        const bool isLost = run.second.endpoint == endpoint;
        if (isLost) {
            ++m_jobs.at(run.second.job).tasks.at(run.second.task).lostRuns;
            one.lostRuns.emplace(run.first, run.second.start);
        }
        return isLost;
    });
    m_crashes.push_back({.endpoint = endpoint, .at = elapsed(), .lostRuns = one.lostRuns.size()});
    const microseconds delay(std::uniform_int_distribution<std::int64_t>(MinDetectionDelay.count(), MaxDetectionDelay.count())(m_crashRandom));
    schedule(delay, [this, endpoint] {
        detectCrash(endpoint);
    });
    schedule(downTime, [this, endpoint] {
        --m_down;
        startAgent(endpoint);
        for (std::size_t entry = 0; entry < m_entries.size(); ++entry) {
            connect(entry, endpoint);
        }
    });
}

// The process of the agent reports the ends of all runs before it ends itself, as platform_agent_process does.
void overload_simulation::detectCrash(std::size_t endpoint)
{
    simulated_endpoint &one = m_endpoints[endpoint];
    one.state = endpoint_state::down;
    for (const auto &[id, start] : std::exchange(one.lostRuns, {})) {
        task_outcome outcome;
        outcome.verdict = task_verdict::interrupted;
        outcome.why = reason::outcomeUnknown;
        outcome.runTime = std::chrono::duration_cast<microseconds>(m_now - start);
        outcome.endpointCrashed = true;
        one.ends.push_back({.id = id, .outcome = outcome});
    }
    for (const task_id &id : one.refusedStarts) {
        one.ends.push_back({.id = id, .outcome = {.verdict = task_verdict::interrupted, .why = reason::outcomeUnknown, .body = {}, .runTime = {}}});
    }
    if (!one.ends.empty()) {
        one.ends.front().unstarted = std::exchange(one.refusedStarts, {});
    }
    while (!one.ends.empty()) {
        const call_finished end = one.ends.front();
        one.ends.pop_front();
        toAgent(endpoint, end);
    }
    toAgent(endpoint, agent_drain_started{.bound = {}});
    one.core.reset();
    for (std::size_t entry = 0; entry < m_entries.size(); ++entry) {
        schedule(CloseDelay, [this, entry, id = one.id] {
            loseConnection(entry, id);
        });
    }
}

void overload_simulation::crashByTask(const task_id &id)
{
    const auto run = m_runs.find(id);
    if (run == m_runs.end()) {
        return;
    }
    ++m_jobs.at(run->second.job).tasks.at(run->second.task).crashes;
    crash(run->second.endpoint);
}

const std::vector<simulated_crash> &overload_simulation::crashes() const
{
    return m_crashes;
}

std::size_t overload_simulation::maxDown() const
{
    return m_maxDown;
}

std::vector<simulated_task> overload_simulation::deadlyTasks() const
{
    std::vector<simulated_task> deadly;
    for (const auto &[request, job] : m_jobs) {
        std::ranges::copy_if(job.tasks, std::back_inserter(deadly), &simulated_task::isDeadly);
    }
    return deadly;
}

} // namespace teaselward
