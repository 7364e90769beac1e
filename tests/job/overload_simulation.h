#pragma once

#include "agent/agent_core.h"
#include "core/route_config.h"
#include "core/task_id.h"
#include "core/task_verdict.h"
#include "job/entry_core.h"
#include "log/null_logger.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace teaselward
{

/** Kind of jobs in the simulated workload. */
struct simulated_kind {
    std::string name;
    std::uint32_t priority = 0;
    double jobsPerSecond = 0;
    double tasks = 1; ///< Mean number of tasks of a job.
    std::chrono::milliseconds work{}; ///< Mean run time of a task at an endpoint of normal speed.
    std::chrono::milliseconds timeLimit{10000}; ///< Time after which the caller leaves.
    double longFraction = 0; ///< Fraction of the jobs whose tasks run seven times as long.
};

/** Outcomes of the jobs of one kind. */
struct kind_outcome {
    std::size_t submitted = 0;
    std::size_t inTime = 0; ///< Answered within the objective.
    std::size_t late = 0; ///< Answered within three times the objective.
    std::size_t refused = 0; ///< Answered "not run".
    std::size_t failed = 0;
    double wasted = 0; ///< Processor seconds of runs that were stopped.
    std::size_t refusedWithRoom = 0; ///< Refused while all its tasks would have fitted into free processors of the endpoints.
    std::size_t refusedSlowly = 0; ///< Refused after more than a quarter of the objective.

    /** @return fraction of the jobs that were answered within their objective; 1 without jobs */
    double fractionInTime() const
    {
        return submitted == 0 ? 1 : static_cast<double>(inTime) / static_cast<double>(submitted);
    }
};

/**
 * Simulates entries and agents in virtual time under a generated workload: Poisson arrivals with log-normal numbers of tasks, run
 * times and processor needs, and declared run times with a log-normal error (sigma 0.4), as in the workload of the users. Nothing
 * fails, so that the outcomes depend only on the decisions about order, admission and placement.
 */
class overload_simulation
{
public:
    /**
     * Creates the entries and agents.
     * @param kinds kinds of jobs
     * @param endpoints number of endpoints with 32 cores; every third has 48 cores and run times that are 1.3 times as long
     * @param seed seed of the random number generators
     * @param entries number of entries
     */
    overload_simulation(std::vector<simulated_kind> kinds, std::size_t endpoints, std::uint32_t seed, std::size_t entries = 3);
    ~overload_simulation();

    /**
     * Changes the speed of an endpoint.
     * @param endpoint index of the endpoint
     * @param factor factor of the run times of tasks that start from now on
     */
    void setSlowdown(std::size_t endpoint, double factor);

    /**
     * Changes the arrival rates of all kinds.
     * @param factor factor of the rates of jobs that arrive from now on
     */
    void setLoad(double factor);

    /**
     * Runs the simulation with arriving jobs.
     * @param length virtual time
     * @param burst factor of the arrival rate of one kind
     * @param kind the kind whose arrival rate is changed
     */
    void run(std::chrono::milliseconds length, double burst = 1, const std::string &kind = {});

    /** @return outcomes by kind of the jobs that arrived since the last call; simulates another 10 s to finish them */
    std::map<std::string, kind_outcome> takeOutcomes();

private:
    struct entry_process {
        std::unique_ptr<entry_core> core;
        mono_time wake = mono_time::max();
    };
    struct agent_process {
        std::unique_ptr<agent_core> core;
        double slowdown = 1;
        std::uint32_t freeMillis = 0; ///< Processors that no task uses, in thousandths.
        mono_time wake = mono_time::max();
    };
    struct open_job {
        std::string kind;
        mono_time arrival{};
        std::chrono::microseconds objective{};
        std::uint32_t cpuMillis = 0; ///< Processors that each task needs, in thousandths.
        std::vector<std::chrono::microseconds> work; ///< Run time of each task.
    };

    struct running_run {
        std::size_t agent = 0;
        std::string kind;
        std::uint32_t cpuMillis = 0;
        mono_time start{};
    };

    void endRun(const task_id &id, task_verdict verdict);
    void schedule(std::chrono::microseconds delay, std::function<void()> callback);
    void runUntil(mono_time end);
    double lognormal(double mean, double spread);
    void submit(const simulated_kind &kind);
    void toEntry(std::size_t entry, const entry_event &event);
    void toAgent(std::size_t agent, const agent_event &event);
    void wakeEntry(std::size_t entry);
    void wakeAgent(std::size_t agent);
    void perform(std::size_t entry, const entry_action &action);
    void perform(std::size_t agent, const agent_action &action);
    void answered(const job_answer &answer, std::uint64_t request);
    bool hasRoom(const open_job &job) const;

    std::vector<simulated_kind> m_kinds;
    std::mt19937 m_random;
    double m_load = 1;
    null_logger m_log;
    mono_time m_now{std::chrono::hours(1)};
    std::multimap<mono_time, std::function<void()>> m_due;
    std::vector<entry_process> m_entries;
    std::vector<agent_process> m_agents;
    std::map<std::uint64_t, open_job> m_open; ///< By request.
    std::map<std::string, std::uint64_t> m_requests; ///< By client key.
    std::map<std::uint64_t, std::size_t> m_callers; ///< Entry of each start in progress, by call.
    std::map<task_id, running_run> m_runs; ///< Runs in progress.
    std::map<std::string, kind_outcome> m_outcomes;
    std::uint64_t m_lastRequest = 0;
    std::uint64_t m_lastCall = 0;
};

} // namespace teaselward
