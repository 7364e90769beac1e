#pragma once

#include "sim/event_heap.h"
#include "sim/sim_endpoint.h"
#include "sim/sim_entry.h"
#include "sim/sim_job.h"
#include "sim/sim_network.h"
#include "sim/sim_setup.h"
#include "sim/sim_stats.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <vector>

namespace teaselward
{

/** Simulated cluster: connects the simulated entries and endpoints of one run and delivers their messages. */
class sim_cluster : private sim_network
{
public:
    /** @param setup parameters of the run; must outlive the cluster */
    explicit sim_cluster(const sim_setup &setup);

    /**
     * Runs the whole simulation.
     * @return statistics of the run, valid as long as the cluster
     */
    const sim_stats &run();

private:
    void sendStart(std::size_t entry, std::size_t worker, const task_id &task, std::chrono::microseconds runTime, std::chrono::microseconds delay) override;
    void sendResult(std::size_t worker, std::size_t entry, const task_id &task, const task_outcome &outcome, std::int32_t credits) override;
    void sendCredits(std::size_t worker, std::size_t entry, std::int32_t delta) override;

    mono_time arrivalTime(std::size_t entry, std::size_t worker) const;
    void connect(std::size_t entry);
    void disconnect(std::size_t entry);
    void scheduleSubmission(std::size_t number);
    void tick();
    void exchangeUsage();

    const sim_setup &m_setup;
    event_heap m_heap;
    std::vector<sim_job> m_jobs;
    sim_stats m_stats;
    std::deque<sim_endpoint> m_endpoints;
    std::deque<sim_entry> m_entries;
    std::vector<std::uint32_t> m_sessions; ///< Session number of each entry; messages of earlier sessions are dropped.
};

} // namespace teaselward
