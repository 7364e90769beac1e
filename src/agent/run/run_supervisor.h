#pragma once

#include "agent/action/call_endpoint.h"
#include "agent/action/confirm_home.h"
#include "agent/event/call_finished.h"
#include "agent/run/call_result.h"
#include "agent/run/list_runs_result.h"
#include "agent/run/run_call.h"
#include "agent/run/run_id.h"
#include "agent/run/supervisor_settings.h"
#include "base/clock.h"
#include "core/task_id.h"
#include "log/logger.h"

#include <cstdint>
#include <memory>
#include <vector>

namespace teaselward
{

namespace detail
{
class run_supervisor_private;
}

/**
 * Supervises the runs of one endpoint instance: renews their lease, tracks each run until its end is certain, and reports that
 * end exactly once. Orphaned runs, such as those of an earlier incarnation of the agent, are stopped before the first start. It
 * does no I/O and reads no clock; one thread calls it.
 */
class run_supervisor
{
public:
    /**
     * Starts to supervise an endpoint instance; the first call lists its runs.
     * @param settings limits and intervals
     * @param now current time
     * @param log log of decisions; must outlive the supervisor
     */
    run_supervisor(const supervisor_settings &settings, mono_time now, logger &log);
    ~run_supervisor();

    run_supervisor(const run_supervisor &) = delete;
    run_supervisor &operator=(const run_supervisor &) = delete;

    /**
     * Starts a run.
     * @param order the task
     * @param now current time
     */
    void start(const call_endpoint &order, mono_time now);

    /**
     * Stops the run of a task. Ignored if there is none.
     * @param task the task
     * @param now current time
     * @param why reason in the outcome of the run
     */
    void stop(const task_id &task, mono_time now, reason why = reason::cancelled);

    /**
     * Extends the time during which the runs of a home entry may go on.
     * @param home the session and the time at which it was confirmed
     */
    void confirmHome(const confirm_home &home);

    /**
     * Handles the answer to a start.
     * @param id the run
     * @param result the answer
     * @param now current time
     */
    void startAnswered(const run_id &id, call_result result, mono_time now);

    /**
     * Handles the answer to a stop.
     * @param id the run
     * @param result the answer
     * @param now current time
     */
    void stopAnswered(const run_id &id, call_result result, mono_time now);

    /**
     * Handles the answer to a list call.
     * @param lists the answer
     * @param now current time
     */
    void listed(const list_runs_result &lists, mono_time now);

    /**
     * Requests the lists at once. Ignored if the endpoint is lost.
     * @param now current time
     */
    void requestLists(mono_time now);

    /**
     * Performs what is due: time limits, retries and the next list call.
     * @param now current time
     */
    void runTimers(mono_time now);

    /** @return time at which runTimers() must be called; the maximum if the endpoint is lost */
    mono_time nextDue() const;

    /** @return calls to send, in order; each is returned once */
    std::vector<run_call> takeCalls();

    /** @return ends to report; each is returned once */
    std::vector<call_finished> takeEnds();

    /** @return whether all orphaned runs have ended and the endpoint accepts starts */
    bool isReady() const;

    /** @return token of the calls; the endpoint has accepted it once isReady() was true */
    std::uint64_t fencingToken() const;

    /** @return whether this instance of the endpoint has ended, or is unreachable and the leases of its runs have expired */
    bool isLost() const;

private:
    std::unique_ptr<detail::run_supervisor_private> d;
};

} // namespace teaselward
