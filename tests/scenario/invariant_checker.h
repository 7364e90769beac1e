#pragma once

#include "core/task_id.h"
#include "scenario/request_record.h"
#include "scenario/task_run.h"

#include <absl/container/flat_hash_map.h>
#include <absl/container/flat_hash_set.h>

#include <string>
#include <utility>
#include <vector>

namespace teaselward::testing
{

/** Compares every answer with what ran. It uses only values that cross the interface of the code under test, none of its internal state. */
class invariant_checker
{
public:
    /**
     * Records that an endpoint started a task.
     * @param id the task
     * @param agent index of the agent
     * @param now current time
     */
    void recordStart(const task_id &id, std::size_t agent, mono_time now);

    /**
     * Records that an agent confirmed a fence: it starts no further task of the ticket.
     * @param ticket the ticket
     * @param agent index of the agent
     */
    void recordFence(const ticket_id &ticket, std::size_t agent);

    /**
     * Records that a task succeeded.
     * @param id the task
     * @param result what the endpoint returned
     */
    void recordSuccess(const task_id &id, const std::string &result);

    /**
     * Records as a violation that an entry sent a start to a leaving agent after the time limit for such starts.
     * @param agent index of the agent
     */
    void recordStartAtLeaving(std::size_t agent);

    /**
     * Lists the violations of the invariants.
     * @param requests all requests of all callers
     * @param end current time; a request that should have been answered by then and was not is a violation
     * @return one description per violation
     */
    std::vector<std::string> violations(const std::vector<request_record> &requests, mono_time end) const;

    /** @return number of starts, over all tasks */
    std::size_t starts() const;

    /**
     * Counts the starts of a ticket, over all its tasks.
     * @param ticket the ticket
     */
    std::size_t startsOf(const ticket_id &ticket) const;

private:
    void checkComplete(const request_record &request, std::vector<std::string> &found) const;
    void checkAnswer(const request_record &request, std::vector<std::string> &found) const;

    void checkStartTimes(const std::vector<request_record> &requests, std::vector<std::string> &found) const;

    absl::flat_hash_map<task_id, task_run> m_runs;
    absl::flat_hash_set<std::pair<ticket_id, std::size_t>> m_fences;
    std::vector<std::string> m_recordedViolations;
};

} // namespace teaselward::testing
