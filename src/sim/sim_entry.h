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

/** Simulated entry, which uses the production task_queue and slot_table. */
class sim_entry
{
public:
    sim_entry(const sim_setup &setup, std::size_t number, event_heap &heap, sim_network &network, sim_stats &stats, std::vector<sim_job> &jobs);

    /** Runs a decision as soon as the simulated decision thread is free; each decision occupies it for a fixed time. */
    void scheduleDecision(std::function<void()> decision);

    /** Adds a worker without credits. */
    void join(std::size_t worker);

    /** Removes a worker. */
    void leave(std::size_t worker);

    /**
     * Handles a submission: admits and queues the tasks of the job, or refuses it.
     * @param arrived time at which the submission reached the entry
     */
    void submit(sim_job &job, mono_time arrived);

    /**
     * Handles the result of a start.
     * @param credits change of the credits at the worker
     */
    void finish(std::size_t worker, const task_id &task, const task_outcome &outcome, std::int32_t credits);

    /** Handles a change of the credits at a worker. */
    void addCredits(std::size_t worker, std::int32_t delta);

    /** Fails the jobs of expired tasks and checks whether the failing worker has been detected. */
    void tick();

    /** Fails every job with started tasks, whose outcomes are lost with the connection. */
    void failStarted();

    /** @return task queue, for the exchange of quota usage */
    task_queue &queue()
    {
        return m_queue;
    }

    /** Sets the function that returns the load of a worker, for two_choices. */
    void setLoadProbe(std::function<std::uint32_t(std::size_t)> probe);

    /** @return seconds from the fault until this entry excluded the failing worker; negative if it has not */
    double detectionSeconds() const
    {
        return m_detectionSeconds;
    }

private:
    /** Task that was sent to a worker and has no result yet. */
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
