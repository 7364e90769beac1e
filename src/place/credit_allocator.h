#pragma once

#include "base/clock.h"
#include "core/entry_id.h"
#include "place/credit_grant.h"

#include <cstdint>
#include <memory>
#include <vector>

namespace teaselward
{

namespace detail
{
class credit_allocator_private;
}

/**
 * Divides the slots of one endpoint among the entries that compete for them. It belongs to the agent, and the agent's
 * decision thread is its only user. Credits granted and tasks running never add up to more than the slots, except while a
 * credit that is being taken back is still on its way.
 */
class credit_allocator
{
public:
    /**
     * Creates an allocator with all slots free.
     * @param slots tasks that the endpoint runs at once
     */
    explicit credit_allocator(std::uint32_t slots);
    ~credit_allocator();

    credit_allocator(const credit_allocator &) = delete;
    credit_allocator &operator=(const credit_allocator &) = delete;

    /**
     * Adds an entry, or resets the credits of one that registered again; its running tasks keep their slots.
     * @param entry the entry
     * @param now present time
     * @return changes to send; the entry's own credits after a registration start from zero
     */
    std::vector<credit_grant> join(const entry_id &entry, mono_time now);

    /**
     * Removes an entry whose connection is lost. Its free credits return, its running tasks keep their slots.
     * @param entry the entry
     * @param now present time
     * @return changes to send to the other entries
     */
    std::vector<credit_grant> lose(const entry_id &entry, mono_time now);

    /**
     * Records how many tasks wait at an entry.
     * @param entry the entry
     * @param queued number of tasks
     * @param now present time
     * @return changes to send
     */
    std::vector<credit_grant> setDemand(const entry_id &entry, std::uint32_t queued, mono_time now);

    /**
     * Uses one credit of an entry for a start.
     * @param entry the entry
     * @return false if no slot is free for it; the start must then be answered as not started
     */
    bool take(const entry_id &entry);

    /**
     * Frees the slot of a task that ended.
     * @param entry entry that had ordered the start
     * @param now present time
     * @return changes to send; the one for the same entry is returned with the outcome of the task
     */
    std::vector<credit_grant> release(const entry_id &entry, mono_time now);

    /** Stops all further grants, since the agent is leaving. */
    void close();

private:
    std::unique_ptr<detail::credit_allocator_private> d;
};

} // namespace teaselward
