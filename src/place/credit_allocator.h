#pragma once

#include "base/clock.h"
#include "core/entry_id.h"
#include "place/credit_grant.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string_view>
#include <vector>

namespace teaselward
{

namespace detail
{
class credit_allocator_private;
}

/**
 * Divides the slots of one endpoint among the entries that compete for them. It belongs to the agent, and the agent's
 * decision thread is its only user. Tasks running never exceed the slots. Credits may: several entries may be told the same
 * free slot. A start that finds no free slot is held by the agent, in a queue of its own, until a task ends.
 *
 * For each start the agent calls take(), and if that fails hold(). A start that is answered without take(), for example from
 * the record, returns its credit: the answer carries one credit. After every release() and dropHeld() the agent calls
 * takeHeld() until it returns nothing. Credits for a task whose session has ended, since the entry registered again, are sent
 * to the entry as a grant.
 */
class credit_allocator
{
public:
    /** A start held for longer is answered as not started: 100 ms wastes 2.5 times the messages, 1 s lengthens p99 by 2.5 %. */
    static constexpr std::chrono::milliseconds MaxHoldTime{150};

    /**
     * Creates an allocator with all slots free.
     * @param slots tasks that the endpoint runs at once
     * @param policy name in the table of credit policies
     * @param limitsRunning no more tasks run than there are slots; false if the agent checks the resources of the endpoint itself
     * and the slots are only an estimate
     * @throws std::out_of_range if there is no such policy
     */
    explicit credit_allocator(std::uint32_t slots, std::string_view policy = "shared", bool limitsRunning = true);
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
     * Receives the number of tasks that wait at an entry. Only an entry that has neither a credit nor a task here is given
     * credits: moving credits by demand cost more messages than it saved response time.
     * @param entry the entry
     * @param queued number of tasks
     * @param now present time
     * @return changes to send
     */
    std::vector<credit_grant> setDemand(const entry_id &entry, std::uint32_t queued, mono_time now);

    /**
     * Uses one credit of an entry for a start and gives it a slot.
     * @param entry the entry
     * @return false if no slot is free; the start is then held or answered as not started, without a credit
     */
    bool take(const entry_id &entry);

    /**
     * Uses one credit of an entry for a start that does not fit into the endpoint although a slot may be free.
     * @param entry the entry
     * @return false, as take() without a slot
     */
    bool spend(const entry_id &entry);

    /**
     * Changes the number of slots. Grants follow as tasks end.
     * @param slots tasks that the endpoint runs at once
     */
    void resize(std::uint32_t slots);

    /**
     * Holds a start for which take() found no slot, until one is free.
     * @param entry the entry
     * @return false if too many starts wait; the start is then answered as not started, without a credit
     */
    bool hold(const entry_id &entry);

    /**
     * Gives a free slot to a held start, first to the entry with the fewest running tasks.
     * @param canRun tells whether a held start of an entry fits into the endpoint
     * @return the entry whose oldest fitting start is to run now, or nothing if no slot is free or no start fits
     */
    std::optional<entry_id> takeHeld(const std::function<bool(const entry_id &)> &canRun);

    /** As above, for an endpoint that counts slots only. */
    std::optional<entry_id> takeHeld();

    /**
     * Gives a free slot to a held start that the agent has chosen itself.
     * @param entry its entry
     * @return false if no slot is free or the entry has no held start
     */
    bool takeHeldOf(const entry_id &entry);

    /**
     * Forgets a held start that is answered as not started, since it was revoked or waited too long.
     * @param entry the entry
     * @param now present time
     * @return changes to send; the one for the same entry is returned with the answer
     */
    std::vector<credit_grant> dropHeld(const entry_id &entry, mono_time now);

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
