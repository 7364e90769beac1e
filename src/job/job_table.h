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
#include <vector>

namespace teaselward
{

/**
 * Jobs whose tickets this incarnation issued. Answered jobs are kept for the ticket lifetime. If memory is full, the oldest
 * answers are evicted earlier, but their tickets still count as used.
 */
class job_table
{
public:
    /**
     * Creates an empty table.
     * @param lifetime time for which answers are kept
     * @param minRetention time for which answers are kept even if memory is full
     * @param maxJobs number of jobs at which hasRoom() becomes false
     * @param maxBytes bytes of payloads and answers at which hasRoom() becomes false
     */
    job_table(std::chrono::milliseconds lifetime, std::chrono::milliseconds minRetention, std::uint32_t maxJobs, std::uint64_t maxBytes);

    /** @return whether another job can be added */
    bool hasRoom() const;

    /**
     * Evicts the oldest answers until there is room. Answers younger than the minimum retention are kept, and so are answers with
     * a client key, since another ticket with that key would start the job again.
     * @param now current time
     * @return whether there is room
     */
    bool makeRoom(mono_time now);

    /**
     * Returns whether the answer to a ticket was evicted to make room.
     * @param sequence sequence number of the ticket
     */
    bool wasEvicted(std::uint64_t sequence) const;

    /**
     * Adds a running job.
     * @param job the job
     * @return the added job, valid until settle()
     */
    job_record &add(std::unique_ptr<job_record> job);

    /**
     * Finds a running job.
     * @param sequence sequence number of the ticket of the job itself, not of a joined one
     * @return the job, or null
     */
    job_record *findRunning(std::uint64_t sequence);

    /**
     * Finds the running job that a request waits for. This is a linear search, since callers rarely disconnect.
     * @param request the request
     * @return the job, or null
     */
    job_record *findWaitedBy(const request_id &request);

    /**
     * Finds an answered job.
     * @param sequence sequence number of its ticket or of a joined one
     * @return the job, or null
     */
    const answered_job *findAnswered(std::uint64_t sequence) const;

    /**
     * Finds a ticket that was joined to a running job.
     * @param sequence sequence number of the joined ticket
     * @return the joined ticket, or null
     */
    const joined_ticket *findJoined(std::uint64_t sequence) const;

    /**
     * Joins a ticket to the job of another one, running or answered.
     * @param sequence sequence number of the ticket
     * @param digest digest of its submission
     * @param target sequence number of the ticket of that job
     * @param now current time
     */
    void join(std::uint64_t sequence, const request_digest &digest, std::uint64_t target, mono_time now);

    /**
     * Replaces a running job by its answer, which joined tickets share.
     * @param sequence sequence number of its ticket
     * @param answer the final answer
     * @param now current time
     */
    void settle(std::uint64_t sequence, const job_answer &answer, mono_time now);

    /**
     * Drops the answers whose lifetime has passed.
     * @param now current time
     */
    void expire(mono_time now);

    /** @return time at which expire() is due, or mono_time::max() if no answer is kept */
    mono_time nextDue() const;

    /** @return index of the jobs by client key */
    key_index &keys();

    /** @return sequence numbers of the running jobs, sorted */
    std::vector<std::uint64_t> running() const;

    /** @return number of running jobs */
    std::size_t runningCount() const;

    /** @return number of kept answers */
    std::size_t keptCount() const;

private:
    void keep(std::uint64_t sequence, answered_job job, mono_time now);
    void expire(std::deque<job_expiry> &expiries, mono_time now);
    void drop(std::uint64_t sequence);

    std::chrono::milliseconds m_lifetime;
    std::chrono::milliseconds m_minRetention;
    std::size_t m_maxJobs;
    std::uint64_t m_maxBytes;
    std::uint64_t m_bytes = 0;
    absl::flat_hash_map<std::uint64_t, std::unique_ptr<job_record>> m_running;
    absl::flat_hash_map<std::uint64_t, joined_ticket> m_joined;
    absl::flat_hash_map<std::uint64_t, answered_job> m_answered;
    std::deque<job_expiry> m_expiries; ///< Answered jobs without a client key, ordered by expiry, since all have the same lifetime.
    std::deque<job_expiry> m_keyedExpiries; ///< Answered jobs with a client key, ordered by expiry; these are not evicted.
    evicted_tickets m_evicted;
    key_index m_keys;
};

} // namespace teaselward
