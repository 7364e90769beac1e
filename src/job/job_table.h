#pragma once

#include "base/clock.h"
#include "job/answered_job.h"
#include "job/evicted_tickets.h"
#include "job/job_expiry.h"
#include "job/job_record.h"
#include "job/joined_ticket.h"
#include "job/key_index.h"

#include <absl/container/flat_hash_map.h>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <memory>

namespace teaselward
{

/**
 * Jobs of the tickets that this incarnation issued: running ones, and answered ones until the lifetime has passed. If the
 * memory is full, the oldest answers are dropped earlier; their tickets stay used.
 */
class job_table
{
public:
    /**
     * Creates an empty table.
     * @param lifetime time that answers are kept
     * @param minimum time that answers are kept even if the memory is full
     * @param maxJobs number of jobs at which hasRoom() turns false
     * @param maxBytes size of payloads and answers at which hasRoom() turns false
     */
    job_table(std::chrono::milliseconds lifetime, std::chrono::milliseconds minimum, std::uint32_t maxJobs, std::uint64_t maxBytes);

    /** @return whether a further job can be kept */
    bool hasRoom() const;

    /**
     * Drops the oldest answers until there is room, but none that is younger than the minimum, and none with a client key,
     * since another ticket with that key would start the job again.
     * @param now present time
     * @return whether there is room
     */
    bool makeRoom(mono_time now);

    /**
     * Tells whether the answer to a ticket was dropped to make room.
     * @param sequence sequence of the ticket
     */
    bool wasEvicted(std::uint64_t sequence) const;

    /**
     * Adds a running job.
     * @param job the job
     * @return the job, valid until settle()
     */
    job_record &add(std::unique_ptr<job_record> job);

    /**
     * Finds a running job.
     * @param sequence sequence of its own ticket
     * @return the job, or null
     */
    job_record *findRunning(std::uint64_t sequence);

    /**
     * Finds the running job for which a request waits. The running jobs are searched one by one; callers seldom leave.
     * @param request the request
     * @return the job, or null
     */
    job_record *findWaitedBy(const request_id &request);

    /**
     * Finds an answered job.
     * @param sequence sequence of its ticket or of a joined one
     * @return the job, or null
     */
    const answered_job *findAnswered(std::uint64_t sequence) const;

    /**
     * Finds a ticket that was joined to a running job.
     * @param sequence sequence of the joined ticket
     * @return what is known about it, or null
     */
    const joined_ticket *findJoined(std::uint64_t sequence) const;

    /**
     * Joins a ticket to the job of another one, running or answered.
     * @param sequence sequence of the ticket
     * @param digest digest of its submission
     * @param target sequence of the ticket of the job
     * @param now present time
     */
    void join(std::uint64_t sequence, const request_digest &digest, std::uint64_t target, mono_time now);

    /**
     * Replaces a running job by its answer; joined tickets get the same one.
     * @param sequence sequence of its ticket
     * @param answer final answer
     * @param now present time
     */
    void settle(std::uint64_t sequence, const job_answer &answer, mono_time now);

    /**
     * Drops the answers that were kept for the lifetime.
     * @param now present time
     */
    void expire(mono_time now);

    /** @return instant at which expire() is worth a call, or the greatest one if nothing is kept */
    mono_time nextDue() const;

    /** @return client keys of the jobs */
    key_index &keys();

    /** @return number of running jobs */
    std::size_t runningCount() const;

    /** @return number of kept answers */
    std::size_t keptCount() const;

private:
    void keep(std::uint64_t sequence, answered_job job, mono_time now);
    void expire(std::deque<job_expiry> &expiries, mono_time now);
    void drop(std::uint64_t sequence);

    std::chrono::milliseconds m_lifetime;
    std::chrono::milliseconds m_minimum;
    std::size_t m_maxJobs;
    std::uint64_t m_maxBytes;
    std::uint64_t m_bytes = 0;
    absl::flat_hash_map<std::uint64_t, std::unique_ptr<job_record>> m_running;
    absl::flat_hash_map<std::uint64_t, joined_ticket> m_joined;
    absl::flat_hash_map<std::uint64_t, answered_job> m_answered;
    std::deque<job_expiry> m_expiries; ///< Jobs without a client key, ordered by time, since all are kept equally long.
    std::deque<job_expiry> m_keyedExpiries; ///< Jobs with a client key, ordered by time.
    evicted_tickets m_evicted;
    key_index m_keys;
};

} // namespace teaselward
