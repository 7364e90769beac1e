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
 * Starts, outcomes, tombstones and fences of one agent incarnation. A task that has a record never starts again. A record
 * is dropped after the retention only, never to make room.
 */
class ledger
{
public:
    /**
     * Creates an empty ledger.
     * @param retention time that outcomes, tombstones and fences are kept
     * @param maxRecords number of records at which hasRoom() turns false
     * @param maxResultBytes size of kept results at which hasRoom() turns false
     */
    ledger(std::chrono::milliseconds retention, std::uint32_t maxRecords, std::uint64_t maxResultBytes);

    /**
     * Finds the record of a task.
     * @param id the task
     * @return the record until the ledger changes, or null if there is none
     */
    const ledger_record *find(const task_id &id) const;

    /**
     * Tells whether a ticket is fenced.
     * @param ticket the ticket
     */
    bool isFenced(const ticket_id &ticket) const;

    /** @return whether a further start can be recorded */
    bool hasRoom() const;

    /**
     * Records a start. The caller has made sure that the task has no record.
     * @param id the task
     */
    void recordStart(const task_id &id);

    /**
     * Records the outcome of a running task; an outcome that says "not started" leaves a tombstone.
     * @param id the task
     * @param outcome its outcome
     * @param now present time
     */
    void recordOutcome(const task_id &id, const task_outcome &outcome, mono_time now);

    /**
     * Records that a task without a record must not start.
     * @param id the task
     * @param now present time
     * @return false if the ledger is too full even for tombstones
     */
    bool recordTombstone(const task_id &id, mono_time now);

    /**
     * Records that no further task of a ticket may start.
     * @param ticket the ticket
     * @param now present time
     * @return false if the ledger is too full even for fences
     */
    bool fence(const ticket_id &ticket, mono_time now);

    /**
     * Returns the state of one task.
     * @param id the task
     * @return its state; "not started" if there is no record
     */
    agent_task_status held(const task_id &id) const;

    /**
     * Returns all records of a ticket.
     * @param ticket the ticket
     */
    std::vector<agent_task_status> heldOf(const ticket_id &ticket) const;

    /**
     * Drops the records whose retention has passed.
     * @param now present time
     */
    void expire(mono_time now);

    /** @return instant at which expire() is worth a call, or the greatest one if nothing expires */
    mono_time nextDue() const;

    /** @return number of records and fences */
    std::size_t size() const;

private:
    ledger_record *findRecord(const task_id &id);
    bool hasReserve() const;
    void keepUntilExpiry(const task_id &id, bool isFence, mono_time now);
    void drop(const ledger_expiry &entry);

    std::chrono::milliseconds m_retention;
    std::size_t m_maxRecords;
    std::uint64_t m_maxResultBytes;
    std::size_t m_records = 0;
    std::uint64_t m_resultBytes = 0;
    absl::flat_hash_map<ticket_id, ledger_ticket> m_tickets;
    std::deque<ledger_expiry> m_expiries; ///< Ordered by time, since every entry has the same retention.
};

} // namespace teaselward
