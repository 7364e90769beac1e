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
    , m_measures(setup)
    , m_sessions(setup.entries, 0)
{
    sim_links &links = *this;
    for (std::size_t worker = 0; worker < setup.workers; ++worker) {
        m_endpoints.emplace_back(setup, worker, m_heap, links, m_measures);
    }
    for (std::size_t entry = 0; entry < setup.entries; ++entry) {
        m_entries.emplace_back(setup, entry, m_heap, links, m_measures, m_jobs);
        m_entries.back().setLoadProbe([this](std::size_t worker) {
            return m_endpoints[worker].load();
        });
    }
}

const sim_measures &sim_cluster::run()
{
    for (std::size_t entry = 0; entry < m_setup.entries; ++entry) {
        connect(entry);
    }
    if (m_setup.cutOffEntry != sim_setup::NoFault) {
        m_heap.at(mono_time(m_setup.faultAt), [this] {
            cutOff(m_setup.cutOffEntry);
        });
        m_heap.at(mono_time(m_setup.faultEnd), [this] {
            connect(m_setup.cutOffEntry);
        });
    }
    submitNext(0);
    tick();
    exchange();
    m_heap.runUntil(mono_time(m_setup.length));
    m_measures.detected = -1;
    if (m_setup.failingWorker != sim_setup::NoFault) {
        const bool all = std::all_of(m_entries.begin(), m_entries.end(), [](const sim_entry &entry) {
            return entry.detected() >= 0;
        });
        for (const sim_entry &entry : m_entries) {
            m_measures.detected = all ? std::max(m_measures.detected, entry.detected()) : -1;
        }
    }
    return m_measures;
}

// Jobs are added one by one, so that the heap stays small.
void sim_cluster::submitNext(std::size_t number)
{
    if (number == m_jobs.size()) {
        return;
    }
    const mono_time arrived = m_jobs[number].sent + m_setup.callerLatency;
    m_heap.at(arrived, [this, number, arrived] {
        sim_job &job = m_jobs[number];
        m_measures.kinds[job.kind].offered += m_measures.covers(job.sent) ? 1 : 0;
        m_entries[job.entry].decide([this, &job, arrived] {
            m_entries[job.entry].submit(job, arrived);
        });
        submitNext(number + 1);
    });
}

mono_time sim_cluster::arrival(std::size_t entry, std::size_t worker) const
{
    const bool local = entry % m_setup.domains == worker % m_setup.domains;
    return m_heap.now() + (local ? m_setup.localLatency : m_setup.remoteLatency);
}

void sim_cluster::sendStart(std::size_t entry, std::size_t worker, const task_id &task, std::chrono::microseconds runTime, std::chrono::microseconds delay)
{
    m_heap.at(arrival(entry, worker) + delay, [this, entry, worker, task, runTime, session = m_sessions[entry]] {
        if (session == m_sessions[entry]) {
            m_endpoints[worker].start(entry, task, runTime);
        }
    });
}

void sim_cluster::sendResult(std::size_t worker, std::size_t entry, const task_id &task, const task_outcome &outcome, std::int32_t credits)
{
    m_heap.at(arrival(entry, worker), [this, worker, entry, task, outcome, credits, session = m_sessions[entry]] {
        m_entries[entry].decide([this, worker, entry, task, outcome, credits, session] {
            if (session == m_sessions[entry]) {
                m_entries[entry].finish(worker, task, outcome, credits);
            }
        });
    });
}

void sim_cluster::sendCredits(std::size_t worker, std::size_t entry, std::int32_t delta)
{
    m_heap.at(arrival(entry, worker), [this, worker, entry, delta, session = m_sessions[entry]] {
        m_entries[entry].decide([this, worker, entry, delta, session] {
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

void sim_cluster::cutOff(std::size_t entry)
{
    ++m_sessions[entry];
    for (std::size_t worker = 0; worker < m_setup.workers; ++worker) {
        m_entries[entry].leave(worker);
        m_endpoints[worker].lose(entry);
    }
    m_entries[entry].loseStarted();
}

void sim_cluster::tick()
{
    for (sim_entry &entry : m_entries) {
        entry.tick();
    }
    m_heap.at(m_heap.now() + TickInterval, [this] {
        tick();
    });
}

// The reports of the quotas go between entries once a second, apart from the messages of the tasks.
void sim_cluster::exchange()
{
    for (std::size_t from = 0; from < m_entries.size(); ++from) {
        const auto usage = m_entries[from].queue().takeUsage();
        for (std::size_t to = 0; to < m_entries.size(); ++to) {
            if (to != from) {
                m_entries[to].queue().setPeerUsage({from + 1}, usage, m_heap.now());
            }
        }
    }
    m_heap.at(m_heap.now() + ReportInterval, [this] {
        exchange();
    });
}

} // namespace teaselward
