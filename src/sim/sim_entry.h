#pragma once

#include "place/slot_table.h"
#include "share/task_queue.h"
#include "sim/event_heap.h"
#include "sim/sim_job.h"
#include "sim/sim_network.h"
#include "sim/sim_setup.h"
#include "sim/sim_stats.h"

#include <absl/container/flat_hash_map.h>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace teaselward
{

/** Fake entry around the real task_queue and slot_table. */
class sim_entry
{
public:
    sim_entry(const sim_setup &setup, std::size_t number, event_heap &heap, sim_network &network, sim_stats &stats, std::vector<sim_job> &jobs);

    /** Runs a decision when the decision thread is free; each occupies it for a fixed time. */
    void scheduleDecision(std::function<void()> decision);

    void join(std::size_t worker);
    void leave(std::size_t worker);

    /** Receives a submission that arrived at a given instant. */
    void submit(sim_job &job, mono_time arrived);

    /** Receives the answer to a start. */
    void finish(std::size_t worker, const task_id &task, const task_outcome &outcome, std::int32_t credits);

    void addCredits(std::size_t worker, std::int32_t delta);

    /** Drops expired tasks and looks at the health of the failing worker. */
    void tick();

    /** Fails every job whose tasks were started, since their outcomes are lost. */
    void failStarted();

    /** @return the queue, for the reports of the quotas */
    task_queue &queue()
    {
        return m_queue;
    }

    /** Sets how two_choices asks for the load of a worker. */
    void setLoadProbe(std::function<std::uint32_t(std::size_t)> probe);

    /** @return seconds from the fault until this entry excluded the failing worker; negative if it did not */
    double detectionSeconds() const
    {
        return m_detectionSeconds;
    }

private:
    /** Task that was sent to a worker. */
    struct started_task {
        queued_task task;
        std::size_t worker = 0;
    };

    void dispatch();
    void send(queued_task task, std::size_t worker);
    void fail(sim_job &job);
    std::string queueName(const sim_job &job) const;

    const sim_setup &m_setup;
    std::size_t m_number;
    event_heap &m_heap;
    sim_network &m_network;
    sim_stats &m_stats;
    std::vector<sim_job> &m_jobs;
    task_queue m_queue;
    slot_table m_slots;
    absl::flat_hash_map<task_id, started_task> m_started;
    std::function<bool(std::string_view)> m_placeable;
    mono_time m_busyUntil{};
    double m_detectionSeconds = -1;
};

} // namespace teaselward
