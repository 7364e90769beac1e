#include "sim/sim_cluster.h"

#include "sim/sim_workload.h"

#include <algorithm>

namespace teaselward
{

namespace
{

constexpr std::chrono::milliseconds TickInterval(20);
constexpr std::chrono::seconds ReportInterval(1);

} // namespace

sim_cluster::sim_cluster(const sim_setup &setup)
    : m_setup(setup)
    , m_jobs(sim_workload(setup).jobs())
    , m_stats(setup)
    , m_sessions(setup.entries, 0)
{
    sim_network &network = *this;
    for (std::size_t worker = 0; worker < setup.workers; ++worker) {
        m_endpoints.emplace_back(setup, worker, m_heap, network, m_stats);
    }
    for (std::size_t entry = 0; entry < setup.entries; ++entry) {
        m_entries.emplace_back(setup, entry, m_heap, network, m_stats, m_jobs);
        m_entries.back().setLoadProbe([this](std::size_t worker) {
            return m_endpoints[worker].load();
        });
    }
}

const sim_stats &sim_cluster::run()
{
    for (std::size_t entry = 0; entry < m_setup.entries; ++entry) {
        connect(entry);
    }
    if (m_setup.disconnectedEntry != sim_setup::None) {
        m_heap.schedule(mono_time(m_setup.faultStart), [this] {
            disconnect(m_setup.disconnectedEntry);
        });
        m_heap.schedule(mono_time(m_setup.faultEnd), [this] {
            connect(m_setup.disconnectedEntry);
        });
    }
    scheduleSubmission(0);
    tick();
    exchangeUsage();
    m_heap.runUntil(mono_time(m_setup.duration));
    m_stats.detectionSeconds = -1;
    if (m_setup.failingWorker != sim_setup::None) {
        const bool all = std::all_of(m_entries.begin(), m_entries.end(), [](const sim_entry &entry) {
            return entry.detectionSeconds() >= 0;
        });
        for (const sim_entry &entry : m_entries) {
            m_stats.detectionSeconds = all ? std::max(m_stats.detectionSeconds, entry.detectionSeconds()) : -1;
        }
    }
    return m_stats;
}

// Each submission schedules the next one, which keeps the event heap small.
void sim_cluster::scheduleSubmission(std::size_t number)
{
    if (number == m_jobs.size()) {
        return;
    }
    const mono_time arrived = m_jobs[number].sent + m_setup.callerLatency;
    m_heap.schedule(arrived, [this, number, arrived] {
        sim_job &job = m_jobs[number];
        m_stats.kinds[job.kind].offered += m_stats.isMeasured(job.sent) ? 1 : 0;
        m_entries[job.entry].scheduleDecision([this, &job, arrived] {
            m_entries[job.entry].submit(job, arrived);
        });
        scheduleSubmission(number + 1);
    });
}

mono_time sim_cluster::arrivalTime(std::size_t entry, std::size_t worker) const
{
    const bool local = entry % m_setup.failureDomains == worker % m_setup.failureDomains;
    return m_heap.now() + (local ? m_setup.localLatency : m_setup.remoteLatency);
}

void sim_cluster::sendStart(std::size_t entry, std::size_t worker, const task_id &task, std::chrono::microseconds runTime, std::chrono::microseconds delay)
{
    m_heap.schedule(arrivalTime(entry, worker) + delay, [this, entry, worker, task, runTime, session = m_sessions[entry]] {
        if (session == m_sessions[entry]) {
            m_endpoints[worker].start(entry, task, runTime);
        }
    });
}

void sim_cluster::sendResult(std::size_t worker, std::size_t entry, const task_id &task, const task_outcome &outcome, std::int32_t credits)
{
    m_heap.schedule(arrivalTime(entry, worker), [this, worker, entry, task, outcome, credits, session = m_sessions[entry]] {
        m_entries[entry].scheduleDecision([this, worker, entry, task, outcome, credits, session] {
            if (session == m_sessions[entry]) {
                m_entries[entry].finish(worker, task, outcome, credits);
            }
        });
    });
}

void sim_cluster::sendCredits(std::size_t worker, std::size_t entry, std::int32_t delta)
{
    m_heap.schedule(arrivalTime(entry, worker), [this, worker, entry, delta, session = m_sessions[entry]] {
        m_entries[entry].scheduleDecision([this, worker, entry, delta, session] {
            if (session == m_sessions[entry]) {
                m_entries[entry].addCredits(worker, delta);
            }
        });
    });
}

void sim_cluster::connect(std::size_t entry)
{
    for (std::size_t worker = 0; worker < m_setup.workers; ++worker) {
        m_entries[entry].join(worker);
        m_endpoints[worker].join(entry);
    }
}

void sim_cluster::disconnect(std::size_t entry)
{
    ++m_sessions[entry];
    for (std::size_t worker = 0; worker < m_setup.workers; ++worker) {
        m_entries[entry].leave(worker);
        m_endpoints[worker].leave(entry);
    }
    m_entries[entry].failStarted();
}

void sim_cluster::tick()
{
    for (sim_entry &entry : m_entries) {
        entry.tick();
    }
    m_heap.schedule(m_heap.now() + TickInterval, [this] {
        tick();
    });
}

// Entries report their quota usage to each other once per second. The reports arrive at once and are not counted as messages.
void sim_cluster::exchangeUsage()
{
    for (std::size_t from = 0; from < m_entries.size(); ++from) {
        const auto usage = m_entries[from].queue().takeUsage();
        for (std::size_t to = 0; to < m_entries.size(); ++to) {
            if (to != from) {
                m_entries[to].queue().setPeerUsage({from + 1}, usage, m_heap.now());
            }
        }
    }
    m_heap.schedule(m_heap.now() + ReportInterval, [this] {
        exchangeUsage();
    });
}

} // namespace teaselward
