#pragma once

#include "agent/run/call_result.h"
#include "agent/run/list_runs.h"
#include "agent/run/list_runs_result.h"
#include "agent/run/run_end.h"
#include "agent/run/run_id.h"
#include "agent/run/run_result.h"
#include "agent/run/start_run.h"
#include "agent/run/stop_run.h"
#include "base/clock.h"
#include "chain/run_log.h"
#include "chain/seeded_random.h"
#include "chain/virtual_timeline.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace teaselward
{

/**
 * Worker of the platform in virtual time, with the lease of its runs, the fencing token, the attempts of tasks and the list of
 * ends. It can crash and return under its address. The payload of a task is the time that it runs, in microseconds. The clock of the worker is up to 2 % slow.
 */
class simulated_worker
{
public:
    /**
     * Starts the worker.
     * @param position position of the worker in the simulation
     * @param timeline time of the simulation; must outlive the worker
     * @param random decisions of the simulation; must outlive the worker
     * @param runs records the runs; must outlive the worker
     */
    simulated_worker(std::size_t position, virtual_timeline &timeline, seeded_random &random, run_log &runs);

    /**
     * Carries out a start.
     * @param call the call
     * @return the answer
     */
    call_result start(const start_run &call);

    /**
     * Carries out a stop.
     * @param call the call
     * @return the answer
     */
    call_result stop(const stop_run &call);

    /**
     * Carries out a list call.
     * @param call the call
     * @param answer called with the answer, at once or when a run ends or the wait is over
     */
    void list(const list_runs &call, const std::function<void(list_runs_result)> &answer);

    /** Ends the worker with all runs; it forgets the token, the lease, the attempts and the ends. */
    void crash();

    /** Ends the worker like crash(), but its address answers nothing instead of refusing connections. */
    void crashSilently();

    /** Starts the worker again with a clock that begins anew. */
    void restart();

    /** @return whether the worker accepts connections */
    bool isAlive() const;

    /** @return whether the worker has crashed and its address answers nothing */
    bool isSilent() const;

    /** @return number of the current life */
    std::uint64_t life() const;

    /** @return start of the worker since 1970 */
    std::chrono::milliseconds born() const;

    /** @return number of runs that ended since their lease was not renewed */
    std::size_t lapsedRuns() const;

private:
    using task_key = std::pair<std::string, std::uint32_t>;

    struct live_run {
        std::uint32_t attempt = 0;
        mono_time since{};
        std::chrono::microseconds length{};
    };
    struct waiting_list {
        list_runs call;
        std::function<void(list_runs_result)> answer;
    };

    std::chrono::milliseconds clock() const;
    bool takeToken(std::uint64_t token);
    void hold(std::chrono::milliseconds leaseEnd);
    void checkLease();
    void end(const run_id &id, run_result result);
    list_runs_result lists(std::uint64_t number) const;
    void answerWaiting();

    std::size_t m_position;
    virtual_timeline &m_timeline;
    seeded_random &m_random;
    run_log &m_log;
    double m_rate; ///< Rate of the worker's clock.
    mono_time m_bornAt{};
    std::uint64_t m_token = 0;
    std::chrono::milliseconds m_leaseEnd{}; ///< On the worker's clock.
    std::map<task_key, live_run> m_live;
    std::map<task_key, std::uint32_t> m_closed; ///< Highest attempt that ended or was stopped.
    std::vector<run_end> m_ends;
    std::uint64_t m_lastEnd = 0;
    std::map<std::uint64_t, waiting_list> m_waiting;
    std::uint64_t m_lastWaiting = 0;
    std::size_t m_lapsed = 0;
    std::uint64_t m_life = 1; ///< Counts the starts of the worker.
    bool m_isAlive = true;
    bool m_isSilent = false;
};

} // namespace teaselward
