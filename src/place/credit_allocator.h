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
 * Divides the slots of one endpoint among the entries that compete for them. A credit allows an entry to send one start. The
 * agent owns the allocator and calls it from its decision thread only. Running tasks never exceed the slots. Credits may exceed
 * them: the same free slot may be granted to several entries. A start that finds no free slot is held by the agent, in a separate
 * queue, until a task ends.
 *
 * For each start the agent calls take(), and if that fails hold(). A start that is answered without take(), for example from
 * the ledger, returns its credit with the answer. After every release() and dropHeld() the agent calls takeHeld() until it
 * returns nothing. Credits for a task of an earlier session, which ended when the entry registered again, are sent as a grant.
 */
class credit_allocator
{
public:
    /** A start held for longer is refused. A shorter time costs more messages, a longer one lengthens response times. */
    static constexpr std::chrono::milliseconds MaxHoldTime{150};

    /**
     * Creates an allocator with all slots free.
     * @param slots tasks that the endpoint runs at once
     * @param policy name in the table of credit policies
     * @param limitsRunning whether running tasks are limited to the slots; false if the agent checks the resources of the
     * endpoint itself and the slots are only an estimate
     * @throws std::out_of_range if there is no such policy
     */
    explicit credit_allocator(std::uint32_t slots, std::string_view policy = "shared", bool limitsRunning = true);
    ~credit_allocator();

    credit_allocator(const credit_allocator &) = delete;
    credit_allocator &operator=(const credit_allocator &) = delete;

    /**
     * Adds an entry, or resets the credits of one that registered again. Its running tasks keep their slots.
     * @param entry the entry
     * @param now current time
     * @return changes to send; those of the entry itself count from zero credits
     */
    std::vector<credit_grant> join(const entry_id &entry, mono_time now);

    /**
     * Removes an entry whose connection was lost. Its unused credits are revoked, its running tasks keep their slots.
     * @param entry the entry
     * @param now current time
     * @return changes to send to the other entries
     */
    std::vector<credit_grant> leave(const entry_id &entry, mono_time now);

    /**
     * Updates the number of tasks queued at an entry. Only an entry that has neither a credit nor a task here is granted
     * credits: moving credits by demand costs more messages than it saves response time.
     * @param entry the entry
     * @param queued number of tasks
     * @param now current time
     * @return changes to send
     */
    std::vector<credit_grant> setDemand(const entry_id &entry, std::uint32_t queued, mono_time now);

    /**
     * Uses one credit of an entry and gives the start a slot.
     * @param entry the entry
     * @return false if no slot is free; the start is then held, or refused without returning a credit
     */
    bool take(const entry_id &entry);

    /**
     * Uses one credit of an entry for a start that does not fit into the endpoint even if a slot is free.
     * @param entry the entry
     * @return always false, like take() without a free slot
     */
    bool spend(const entry_id &entry);

    /**
     * Changes the number of slots. Credits are adjusted as tasks end, or by adjustAll().
     * @param slots tasks that the endpoint runs at once
     */
    void resize(std::uint32_t slots);

    /**
     * Adjusts the credits of all entries at once, after a change of the slots that no end of a task would make known in time.
     * @param now current time
     * @return changes to send
     */
    std::vector<credit_grant> adjustAll(mono_time now);

    /**
     * Holds a start for which take() found no slot.
     * @param entry the entry
     * @return false if too many starts are held; the start is then refused without returning a credit
     */
    bool hold(const entry_id &entry);

    /**
     * Gives a free slot to a held start of the entry with the fewest running tasks.
     * @param canRun checks whether a held start of an entry fits into the endpoint
     * @return the entry whose oldest fitting start is to run now; empty if no slot is free or no start fits
     */
    std::optional<entry_id> takeHeld(const std::function<bool(const entry_id &)> &canRun);

    /** Same for an endpoint that is limited by slots only. */
    std::optional<entry_id> takeHeld();

    /**
     * Gives a free slot to a held start that the agent has chosen.
     * @param entry its entry
     * @return false if no slot is free or the entry has no held start
     */
    bool takeHeldOf(const entry_id &entry);

    /**
     * Removes a held start that is refused because it was revoked or held too long.
     * @param entry the entry
     * @param now current time
     * @return changes to send; the change for the same entry is sent with the answer
     */
    std::vector<credit_grant> dropHeld(const entry_id &entry, mono_time now);

    /**
     * Frees the slot of a task that ended.
     * @param entry entry that requested the start
     * @param now current time
     * @return changes to send; the change for the same entry is sent with the outcome of the task
     */
    std::vector<credit_grant> release(const entry_id &entry, mono_time now);

    /** Ends all grants because the agent drains. */
    void close();

private:
    std::unique_ptr<detail::credit_allocator_private> d;
};

} // namespace teaselward
