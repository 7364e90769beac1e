#include "sim/sim_entry.h"

#include <algorithm>
#include <array>
#include <memory>
#include <utility>

namespace teaselward
{

namespace
{

using std::chrono::microseconds;

constexpr microseconds DecisionTime(10); // Time that one event occupies the decision thread; above the target of 4 us per task.
constexpr std::uint64_t ProbeMessages = 4; // Request and response for each of two endpoints.
constexpr std::array<std::string_view, sim_setup::Kinds> KindNames = {"urgent", "usual", "patient"};
constexpr std::array<double, sim_setup::Kinds> Weights = {4, 2, 1};
constexpr double Floor = 0.25; // Guaranteed fraction of the slots per kind.
constexpr std::string_view FifoName = "all"; // Kind under which the FIFO baseline queues all tasks.

// Three kinds with different weights and the same floor.
std::shared_ptr<const rule_set> makeRules()
{
    auto rules = std::make_shared<rule_set>();
    for (std::size_t kind = 0; kind < sim_setup::Kinds; ++kind) {
        kind_rule &rule = rules->kinds[std::string(KindNames[kind])];
        rule.weight = Weights[kind];
        rule.floor = Floor;
    }
    rules->kinds[std::string(FifoName)].weight = 0;
    return rules;
}

} // namespace

sim_entry::sim_entry(const sim_setup &setup, std::size_t number, event_heap &heap, sim_network &network, sim_stats &stats, std::vector<sim_job> &jobs)
    : m_setup(setup)
    , m_number(number)
    , m_heap(heap)
    , m_network(network)
    , m_stats(stats)
    , m_jobs(jobs)
    , m_slots(setup.strategy, setup.seed * setup.entries + number)
    , m_placeable([this](std::string_view kind) {
        return m_slots.isPlaceable(kind, m_heap.now());
    })
{
    m_queue.setRules(makeRules());
    m_queue.setEntryCount(setup.entries);
}

void sim_entry::scheduleDecision(std::function<void()> decision)
{
    const mono_time start = std::max(m_busyUntil, m_heap.now());
    m_busyUntil = start + DecisionTime;
    if (start == m_heap.now()) {
        decision();
    } else {
        m_heap.schedule(start, std::move(decision));
    }
}

void sim_entry::join(std::size_t worker)
{
    agent_info info;
    info.id = {worker + 1};
    info.failureDomain = std::to_string(worker % m_setup.failureDomains);
    info.slots = m_setup.slots;
    info.kinds.assign(KindNames.begin(), KindNames.end());
    info.kinds.emplace_back(FifoName);
    m_slots.join(info, 0, std::chrono::seconds(2), m_heap.now());
}

void sim_entry::leave(std::size_t worker)
{
    m_slots.leave({worker + 1});
}

std::string sim_entry::queueName(const sim_job &job) const
{
    return std::string(m_setup.fifo ? FifoName : KindNames[job.kind]);
}

void sim_entry::submit(sim_job &job, mono_time arrived)
{
    job_request request;
    request.source.id = {m_number + 1, job.number};
    request.team = m_setup.fifo ? "team" : "team" + std::to_string(job.team);
    request.kind = queueName(job);
    request.timeLimit = m_setup.timeLimit;
    request.payloads.resize(job.runTimes.size());
    const std::size_t slots = m_slots.slots(request.kind);
    if (slots == 0 || m_queue.admit(request, slots, m_heap.now()).why != reason::none) {
        job.failed = true;
        m_stats.recordRefusal(job, m_heap.now() + DecisionTime - arrived);
        return;
    }
    for (std::uint32_t index = 0; index < job.runTimes.size(); ++index) {
        const task_id id{{m_number + 1, job.number}, index};
        m_queue.push({id, request.kind, request.team, arrived + m_setup.timeLimit}, m_heap.now());
    }
    dispatch();
}

void sim_entry::dispatch()
{
    while (auto task = m_queue.pop(m_placeable, m_heap.now())) {
        const auto agent = m_slots.acquire(task->kind, m_heap.now());
        if (!agent) {
            m_queue.pushFront(std::move(*task));
            return;
        }
        send(std::move(*task), static_cast<std::size_t>(agent->value - 1));
    }
}

// The load probes of two_choices delay the start by one round trip.
void sim_entry::send(queued_task task, std::size_t worker)
{
    const sim_job &job = m_jobs[task.id.ticket.sequence];
    microseconds delay{};
    if (m_setup.strategy == "two_choices") {
        delay = 2 * m_setup.remoteLatency;
        m_stats.wastedMessages += m_stats.isMeasured(m_heap.now()) ? ProbeMessages : 0;
    }
    if (m_detectionSeconds >= 0 && m_setup.failingWorker != sim_setup::None) {
        ++m_stats.startsAfterDetection;
        m_stats.failingWorkerStartsAfterDetection += worker == m_setup.failingWorker ? 1 : 0;
    }
    m_network.sendStart(m_number, worker, task.id, job.runTimes[task.id.index], delay);
    const task_id id = task.id;
    m_started.emplace(id, started_task{std::move(task), worker});
}

void sim_entry::finish(std::size_t worker, const task_id &task, const task_outcome &outcome, std::int32_t credits)
{
    const auto found = m_started.find(task);
    if (found == m_started.end()) {
        return;
    }
    queued_task started = std::move(found->second.task);
    m_started.erase(found);
    m_slots.release({worker + 1}, started.kind, outcome, credits, m_heap.now());
    sim_job &job = m_jobs[task.ticket.sequence];
    if (outcome.verdict == task_verdict::notStarted && !job.failed) {
        m_stats.wastedMessages += m_stats.isMeasured(m_heap.now()) ? 2 : 0;
        m_queue.pushFront(std::move(started));
        dispatch();
        return;
    }
    m_queue.finish(started, outcome, m_heap.now());
    if (outcome.verdict != task_verdict::succeeded) {
        fail(job);
    } else if (!job.failed) {
        const mono_time answered = m_heap.now() + m_setup.callerLatency;
        m_stats.recordTask(job, task.index, answered);
        if (--job.unfinished == 0) {
            m_stats.recordComplete(job, answered);
        }
    }
    dispatch();
}

void sim_entry::fail(sim_job &job)
{
    if (!job.failed) {
        job.failed = true;
        m_stats.kinds[job.kind].failed += m_stats.isMeasured(job.sent) ? 1 : 0;
        m_queue.removeJob({m_number + 1, job.number});
    }
}

void sim_entry::addCredits(std::size_t worker, std::int32_t delta)
{
    m_slots.addCredits({worker + 1}, delta);
    dispatch();
}

void sim_entry::tick()
{
    for (const queued_task &task : m_queue.takeExpired(m_heap.now())) {
        fail(m_jobs[task.id.ticket.sequence]);
    }
    dispatch();
    if (m_setup.failingWorker == sim_setup::None || m_detectionSeconds >= 0 || m_heap.now().time_since_epoch() < m_setup.faultStart) {
        return;
    }
    for (const endpoint_status &status : m_slots.status()) {
        if (status.info.id.value == m_setup.failingWorker + 1 && status.health == endpoint_health::failing) {
            m_detectionSeconds = std::chrono::duration<double>(m_heap.now().time_since_epoch() - m_setup.faultStart).count();
        }
    }
}

void sim_entry::failStarted()
{
    task_outcome outcome;
    outcome.verdict = task_verdict::unknown;
    outcome.why = reason::outcomeUnknown;
    for (auto &[id, started] : std::exchange(m_started, {})) {
        m_slots.release({started.worker + 1}, started.task.kind, outcome, 0, m_heap.now());
        m_queue.finish(started.task, outcome, m_heap.now());
        fail(m_jobs[id.ticket.sequence]);
    }
}

void sim_entry::setLoadProbe(std::function<std::uint32_t(std::size_t)> probe)
{
    m_slots.setLoadProbe([loadOf = std::move(probe)](const agent_id &agent) {
        return loadOf(static_cast<std::size_t>(agent.value - 1));
    });
}

} // namespace teaselward
