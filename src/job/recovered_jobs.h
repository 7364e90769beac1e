#pragma once

#include "base/clock.h"
#include "core/ticket_id.h"
#include "job/recovered_job.h"

#include <absl/container/flat_hash_map.h>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <utility>

namespace teaselward
{

/** Answers to recovered tickets, kept so that later requests at this entry get the same answer. */
class recovered_jobs
{
public:
    /**
     * Creates an empty table.
     * @param lifetime time for which answers are kept
     * @param maxBytes bytes of answers at which hasRoom() becomes false
     */
    recovered_jobs(std::chrono::milliseconds lifetime, std::uint64_t maxBytes);

    /** @return whether another answer can be added */
    bool hasRoom() const;

    /**
     * Finds an answer.
     * @param ticket the ticket
     * @return the answer, valid until the table changes, or null
     */
    const recovered_job *find(const ticket_id &ticket) const;

    /**
     * Adds an answer.
     * @param ticket the ticket, which must not have an answer yet
     * @param job digest of the submission and the answer
     * @param now current time
     */
    void keep(const ticket_id &ticket, recovered_job job, mono_time now);

    /**
     * Drops the answers whose lifetime has passed.
     * @param now current time
     */
    void expire(mono_time now);

private:
    std::chrono::milliseconds m_lifetime;
    std::uint64_t m_maxBytes;
    std::uint64_t m_bytes = 0;
    absl::flat_hash_map<ticket_id, recovered_job> m_jobs;
    std::deque<std::pair<mono_time, ticket_id>> m_expiries; ///< Ordered by expiry.
};

} // namespace teaselward
