#pragma once

#include "agent/ledger_expiry.h"
#include "agent/ledger_record.h"
#include "agent/ledger_ticket.h"
#include "base/clock.h"
#include "core/agent_task_status.h"
#include "core/task_id.h"
#include "core/task_outcome.h"

#include <absl/container/flat_hash_map.h>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <vector>

namespace teaselward
{

/**
 * Record of the starts, outcomes, tombstones and fences of one agent incarnation. A tombstone forbids the start of one task, a
 * fence the start of all further tasks of a ticket. A task that has a record is never started again. Records are dropped
 * only when their retention has passed, never to free space, since a repeated start of a dropped task would run it twice.
 */
class ledger
{
public:
    /**
     * Creates an empty ledger.
     * @param retention retention time of outcomes, tombstones and fences
     * @param maxRecords number of records and fences at which hasRoom() returns false; tombstones and fences may exceed it
     * @param maxResultBytes total size of stored results at which hasRoom() returns false
     */
    ledger(std::chrono::milliseconds retention, std::uint32_t maxRecords, std::uint64_t maxResultBytes);

    /**
     * Finds the record of a task.
     * @param id the task
     * @return the record, valid until the ledger changes; null if there is none
     */
    const ledger_record *find(const task_id &id) const;

    /**
     * Checks whether a ticket is fenced.
     * @param ticket the ticket
     */
    bool isFenced(const ticket_id &ticket) const;

    /** @return whether a further start can be recorded; false if the number of records or the size of the results is at its limit */
    bool hasRoom() const;

    /**
     * Records a start. The task must not have a record.
     * @param id the task
     */
    void recordStart(const task_id &id);

    /**
     * Records the outcome of a running task; ignored if the task is not running. The verdict notStarted makes it a tombstone.
     * @param id the task
     * @param outcome its outcome
     * @param now current time
     */
    void recordOutcome(const task_id &id, const task_outcome &outcome, mono_time now);

    /**
     * Records that a task must not start. The task must not have a record.
     * @param id the task
     * @param now current time
     * @return false if the ledger holds twice the maximum number of records, the limit for tombstones and fences
     */
    bool recordTombstone(const task_id &id, mono_time now);

    /**
     * Records that no further task of a ticket may start.
     * @param ticket the ticket
     * @param now current time
     * @return false if the ledger holds twice the maximum number of records, the limit for tombstones and fences
     */
    bool fence(const ticket_id &ticket, mono_time now);

    /**
     * Returns the state of one task.
     * @param id the task
     * @return its state; notStarted if there is no record
     */
    agent_task_status taskStatus(const task_id &id) const;

    /**
     * Returns the states of all recorded tasks of a ticket.
     * @param ticket the ticket
     */
    std::vector<agent_task_status> ticketStatus(const ticket_id &ticket) const;

    /**
     * Drops the records whose retention has passed.
     * @param now current time
     */
    void expire(mono_time now);

    /** @return time at which expire() should be called; the maximum if nothing expires */
    mono_time nextDue() const;

    /** @return number of records (starts, outcomes and tombstones) and fences */
    std::size_t size() const;

private:
    ledger_record *findRecord(const task_id &id);
    bool hasTombstoneSpace() const;
    void scheduleExpiry(const task_id &id, bool isFence, mono_time now);
    void drop(const ledger_expiry &expiry);

    std::chrono::milliseconds m_retention;
    std::size_t m_maxRecords;
    std::uint64_t m_maxResultBytes;
    std::size_t m_records = 0; ///< Number of records and fences.
    std::uint64_t m_resultBytes = 0; ///< Total size of the stored results.
    absl::flat_hash_map<ticket_id, ledger_ticket> m_tickets;
    std::deque<ledger_expiry> m_expiries; ///< Ordered by time, since all have the same retention.
};

} // namespace teaselward
