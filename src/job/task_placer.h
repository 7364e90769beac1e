#pragma once

#include "base/clock.h"
#include "core/agent_id.h"
#include "core/agent_info.h"
#include "core/agent_task_status.h"
#include "core/task_id.h"
#include "core/task_outcome.h"
#include "job/entry_context.h"
#include "job/job_manager.h"
#include "job/placement_table.h"
#include "job/returned_tasks.h"
#include "job/timer_queue.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <string_view>

namespace teaselward
{

/**
 * Places queued tasks at agents and follows each start until its fate is known. A task is placed again only after its agent
 * has said that it was not started there.
 */
class task_placer
{
public:
    /**
     * Creates the state without placements.
     * @param context what the parts of the entry share
     * @param jobs jobs that the tasks belong to
     */
    task_placer(entry_context &context, job_manager &jobs);

    /**
     * Places queued tasks while there are credits.
     * @return number of tasks placed
     */
    std::size_t placeAll();

    /**
     * Applies the answer to a start. An answer that fits no placement is late or crossed; only its credits count.
     * @param agent agent that answered
     * @param id the task
     * @param outcome its outcome
     * @param credits credits returned with it
     */
    void finished(const agent_id &agent, const task_id &id, task_outcome outcome, std::int32_t credits);

    /**
     * Asks the agent to revoke a start that ended without an answer.
     * @param agent agent that got the start
     * @param id the task
     */
    void unanswered(const agent_id &agent, const task_id &id);

    /**
     * Applies the answer to a revocation.
     * @param agent agent that answered
     * @param held what it holds about the task
     */
    void revoked(const agent_id &agent, agent_task_status held);

    /**
     * Revokes all starts at an agent whose connection is lost.
     * @param agent the agent
     */
    void connectionLost(const agent_id &agent);

    /**
     * Revokes all starts at an agent that registered again.
     * @param agent the agent
     */
    void connectionRestored(const agent_id &agent);

    /**
     * Gives up all starts at an agent incarnation that no longer exists; their outcome is unknown.
     * @param agent the agent
     */
    void incarnationGone(const agent_id &agent);

    /** Stops the runs of the restartable jobs that were answered since the last call. */
    void stopObsolete();

    /** Revokes all starts, since this entry was paused for longer than the sessions last. */
    void sessionsExpired();

    /** Sends the revocations that are due and queues the tasks whose delay is over. */
    void runTimers();

    /** @return instant of the next timer */
    mono_time nextDue() const;

    /** @return number of starts whose outcome is not known */
    std::size_t outstanding() const;

private:
    void start(queued_task task, const agent_id &agent, job_record &job);
    void resolve(const task_id &id, task_outcome outcome, std::int32_t credits);
    bool mayRestart(const task_outcome &outcome, task_record &record, const job_record &job) const;
    void markAmbiguous(placement &placed);
    void scheduleRevocation(placement &placed, std::chrono::milliseconds delay);
    void sendRevocation(const task_id &id);

    entry_context &m_context;
    job_manager &m_jobs;
    returned_tasks m_returned;
    placement_table m_placements;
    timer_queue<task_id> m_revocations; ///< Placements whose outcome is asked for.
    std::function<bool(std::string_view)> m_placeable; ///< Kept, since it is passed for each task.
};

} // namespace teaselward
