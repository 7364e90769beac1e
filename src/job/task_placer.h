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
#include "job/suspect_tasks.h"
#include "job/timer_queue.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <string_view>

namespace teaselward
{

/**
 * Places queued tasks at agents and tracks each start until its outcome is known. A task is placed again only after its agent
 * has reported that it was not started there, or, if it is restartable, once its run is known to have ended.
 */
class task_placer
{
public:
    /**
     * Creates a placer without placements.
     * @param context state shared by the parts of the entry
     * @param jobs jobs that the tasks belong to
     */
    task_placer(entry_context &context, job_manager &jobs);

    /**
     * Places queued tasks while credits are available.
     * @return number of tasks placed
     */
    std::size_t placeAll();

    /** @return whether the next queued task waits for a check of its caller's connection */
    bool isWaitingForCheck() const;

    /**
     * Handles the answer to a start. If it matches no placement it is late, and only its credits are applied.
     * @param agent agent that answered
     * @param id the task
     * @param outcome its outcome
     * @param credits credits returned with it
     */
    void finished(const agent_id &agent, const task_id &id, task_outcome outcome, std::int32_t credits);

    /**
     * Revokes a start whose call ended without an answer.
     * @param agent agent that the start was sent to
     * @param id the task
     */
    void unanswered(const agent_id &agent, const task_id &id);

    /**
     * Handles the answer to a revocation.
     * @param agent agent that answered
     * @param held state of the task at the agent
     */
    void revoked(const agent_id &agent, agent_task_status held);

    /**
     * Marks all starts at an agent whose connection was lost as ambiguous and schedules their revocation.
     * @param agent the agent
     */
    void connectionLost(const agent_id &agent);

    /**
     * Revokes all starts at an agent that has registered again.
     * @param agent the agent
     */
    void connectionRestored(const agent_id &agent);

    /**
     * Ends all placements at an agent incarnation that no longer exists, with an unknown outcome.
     * @param agent the agent
     */
    void incarnationGone(const agent_id &agent);

    /** Stops the runs of restartable jobs that were answered since the last call. */
    void stopObsolete();

    /** Schedules the revocation of all starts, after this entry was paused for longer than the session lease. */
    void sessionsExpired();

    /** Sends the revocations that are due and requeues the tasks whose delay has passed. */
    void runTimers();

    /** @return time of the next timer */
    mono_time nextDue() const;

    /** @return number of starts that agents have refused because their failure domain is evacuated */
    std::uint64_t evacuatedRefusals() const;

    /** @return number of starts whose outcome is not known yet */
    std::size_t outstanding() const;

private:
    std::size_t placeSuspects();
    bool isCallerPresent(const job_record &job) const;
    void logWait(const queued_task &task, const job_record &job) const;
    bool isQuarantinedSuspect(const queued_task &task, const job_record &job) const;
    std::optional<agent_id> acquire(const queued_task &task, bool isSuspect);
    void start(queued_task task, const agent_id &agent, job_record &job);
    void resolve(const task_id &id, task_outcome outcome, std::int32_t credits);
    bool mayRestart(const task_outcome &outcome, task_record &record, const job_record &job) const;
    void releaseKinds();
    bool isGivenUp(const task_id &id, const task_outcome &outcome, task_record &record);
    void markAmbiguous(placement &placed);
    void scheduleRevocation(placement &placed, std::chrono::milliseconds delay);
    void sendRevocation(const task_id &id);

    entry_context &m_context;
    job_manager &m_jobs;
    returned_tasks m_returned;
    suspect_tasks m_suspects;
    placement_table m_placements;
    timer_queue<task_id> m_revocations; ///< Tasks whose start is to be revoked.
    bool m_isWaitingForCheck = false;
    std::function<bool(std::string_view)> m_placeable; ///< Passed to the queue for each pop; stored to avoid constructing it each time.
};

} // namespace teaselward
