#pragma once

#include "agent/action/call_endpoint.h"
#include "agent/event/call_finished.h"
#include "agent/run/call_result.h"
#include "agent/run/list_runs_result.h"
#include "agent/run/run_call.h"
#include "agent/run/run_id.h"
#include "agent/run/supervisor_settings.h"
#include "base/clock.h"
#include "core/task_id.h"
#include "log/logger.h"

#include <memory>
#include <vector>

namespace teaselward
{

namespace detail
{
class run_supervisor_private;
}

/**
 * Decisions of an agent about the runs at its endpoint: it renews their lease, follows each until its end is certain, and
 * reports that end once. Runs that it did not order, such as those of an earlier incarnation of the agent, are stopped before
 * the first start. It knows no socket and no clock; one thread calls it.
 */
class run_supervisor
{
public:
    /**
     * Begins the supervision of one life of an endpoint with a first list call.
     * @param settings bounds
     * @param now present time
     * @param log receiver of the log lines; it must outlive the supervisor
     */
    run_supervisor(const supervisor_settings &settings, mono_time now, logger &log);
    ~run_supervisor();

    run_supervisor(const run_supervisor &) = delete;
    run_supervisor &operator=(const run_supervisor &) = delete;

    /**
     * Starts a run.
     * @param order the task
     * @param now present time
     */
    void start(const call_endpoint &order, mono_time now);

    /**
     * Stops the run of a task, if it is still there.
     * @param task the task
     * @param now present time
     */
    void stop(const task_id &task, mono_time now);

    /**
     * Applies the answer to a start.
     * @param id the run
     * @param result the answer
     * @param now present time
     */
    void startAnswered(const run_id &id, call_result result, mono_time now);

    /**
     * Applies the answer to a stop.
     * @param id the run
     * @param result the answer
     * @param now present time
     */
    void stopAnswered(const run_id &id, call_result result, mono_time now);

    /**
     * Applies the answer to a list call.
     * @param lists the answer
     * @param now present time
     */
    void listed(const list_runs_result &lists, mono_time now);

    /**
     * Does what is due.
     * @param now present time
     */
    void runTimers(mono_time now);

    /** @return instant at which runTimers() is worth a call */
    mono_time nextDue() const;

    /** @return calls to send, in their order */
    std::vector<run_call> takeCalls();

    /** @return ends to report */
    std::vector<call_finished> takeEnds();

    /** @return whether the endpoint runs nothing of others and takes starts */
    bool isReady() const;

    /** @return whether this life of the endpoint has ended, or cannot be reached and its runs have certainly ended */
    bool isLost() const;

private:
    std::unique_ptr<detail::run_supervisor_private> d;
};

} // namespace teaselward
