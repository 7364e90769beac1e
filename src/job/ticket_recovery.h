#pragma once

#include "base/clock.h"
#include "core/agent_id.h"
#include "core/agent_task_status.h"
#include "core/job_request.h"
#include "core/request_id.h"
#include "core/ticket_id.h"
#include "job/entry_context.h"
#include "job/recovered_jobs.h"
#include "job/recovery.h"
#include "job/timer_queue.h"

#include <cstddef>
#include <map>
#include <memory>
#include <vector>

namespace teaselward
{

/**
 * Answers tickets whose home entry is gone. Every known agent is fenced and returns the results that it holds. If the results of
 * all tasks are found, the job is complete; otherwise it fails. The answer never says "not run", since an agent that this entry
 * does not know may have run a task.
 */
class ticket_recovery
{
public:
    /**
     * Creates the state without recoveries.
     * @param context state shared by the parts of the entry
     */
    explicit ticket_recovery(entry_context &context);

    /**
     * Starts the recovery of a ticket, or joins an existing one.
     * @param request the request to answer
     * @param job the submission, which gives the number of tasks
     */
    void recover(const request_id &request, const job_request &job);

    /**
     * Answers a query or a cancellation from an existing recovery. Does not start one, since the number of tasks is unknown.
     * @param request the request to answer
     * @param ticket its ticket
     * @return false if the ticket has no recovery
     */
    bool answer(const request_id &request, const ticket_id &ticket);

    /**
     * Returns whether a ticket is being recovered or has been recovered.
     * @param ticket the ticket
     */
    bool isKnown(const ticket_id &ticket) const;

    /**
     * Handles the answer to a fence.
     * @param agent agent that the fence was sent to
     * @param ticket the ticket
     * @param answered false if the agent did not answer
     * @param held state of the tasks of the ticket at the agent
     */
    void fenced(const agent_id &agent, const ticket_id &ticket, bool answered, std::vector<agent_task_status> held);

    /**
     * Fences all tickets in recovery at a newly registered agent.
     * @param agent the agent
     */
    void agentJoined(const agent_id &agent);

    /**
     * Stops waiting for an agent incarnation that no longer exists.
     * @param agent the agent
     */
    void incarnationGone(const agent_id &agent);

    /** Repeats the fences that are due and fails the recoveries whose deadline has passed. */
    void runTimers();

    /** @return time of the next timer */
    mono_time nextDue() const;

    /** @return number of recoveries in progress */
    std::size_t size() const;

private:
    void create(const request_id &request, const job_request &job, const request_digest &digest, const std::vector<agent_id> &agents);
    void fence(recovery &found, const agent_id &agent);
    void repeat(recovery &found);
    void settleIfDecided(recovery &found);
    void settle(recovery &found, const job_answer &answer);
    void fail(recovery &found, reason why);
    std::vector<ticket_id> tickets() const;

    entry_context &m_context;
    std::map<ticket_id, std::unique_ptr<recovery>> m_recoveries; ///< Ordered, so that a seed replays exactly.
    recovered_jobs m_recovered;
    timer_queue<ticket_id> m_timers;
};

} // namespace teaselward
