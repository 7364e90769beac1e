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

/** Answers to recovered tickets, kept so that every later reader at this entry gets the same one. */
class recovered_jobs
{
public:
    /**
     * Creates an empty table.
     * @param lifetime time that answers are kept
     * @param maxBytes size of answers at which hasRoom() turns false
     */
    recovered_jobs(std::chrono::milliseconds lifetime, std::uint64_t maxBytes);

    /** @return whether a further answer can be kept */
    bool hasRoom() const;

    /**
     * Finds an answer.
     * @param ticket the ticket
     * @return the answer until the table changes, or null
     */
    const recovered_job *find(const ticket_id &ticket) const;

    /**
     * Keeps an answer.
     * @param ticket the ticket, which has none yet
     * @param job digest and answer
     * @param now present time
     */
    void keep(const ticket_id &ticket, recovered_job job, mono_time now);

    /**
     * Drops the answers that were kept for the lifetime.
     * @param now present time
     */
    void expire(mono_time now);

private:
    std::chrono::milliseconds m_lifetime;
    std::uint64_t m_maxBytes;
    std::uint64_t m_bytes = 0;
    absl::flat_hash_map<ticket_id, recovered_job> m_jobs;
    std::deque<std::pair<mono_time, ticket_id>> m_expiries; ///< Ordered by time.
};

} // namespace teaselward
