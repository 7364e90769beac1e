#include "sim/sim_endpoint.h"

namespace teaselward
{

namespace
{

constexpr std::chrono::microseconds FailureTime(1000); // A failing worker fails tasks much faster than it would run them.

} // namespace

sim_endpoint::sim_endpoint(const sim_setup &setup, std::size_t number, event_heap &heap, sim_network &network, sim_stats &stats)
    : m_setup(setup)
    , m_number(number)
    , m_heap(heap)
    , m_network(network)
    , m_stats(stats)
    , m_allocator(setup.slots, setup.creditPolicy)
{
}

entry_id sim_endpoint::entryId(std::size_t entry)
{
    return {entry + 1};
}

// Credits granted on registration travel with the heartbeats, so they don't count as wasted messages.
void sim_endpoint::join(std::size_t entry)
{
    for (const credit_grant &grant : m_allocator.join(entryId(entry), m_heap.now())) {
        m_network.sendCredits(m_number, static_cast<std::size_t>(grant.entry.value - 1), grant.delta);
    }
}

void sim_endpoint::leave(std::size_t entry)
{
    while (m_held.takeOldest(entryId(entry))) {
        m_allocator.dropHeld(entryId(entry), m_heap.now());
    }
    sendToOtherEntries(entry, m_allocator.leave(entryId(entry), m_heap.now()));
}

void sim_endpoint::start(std::size_t entry, const task_id &task, std::chrono::microseconds runTime)
{
    if (m_allocator.take(entryId(entry))) {
        run(entry, task, runTime);
    } else if (m_allocator.hold(entryId(entry))) {
        hold({entry, task, runTime});
    } else {
        ++m_stats.declinedStarts;
        task_outcome outcome;
        outcome.verdict = task_verdict::notStarted;
        outcome.why = reason::overloaded;
        m_network.sendResult(m_number, entry, task, outcome, 0);
    }
}

std::uint32_t sim_endpoint::load() const
{
    return m_running + static_cast<std::uint32_t>(m_held.size());
}

void sim_endpoint::run(std::size_t entry, const task_id &task, std::chrono::microseconds runTime)
{
    task_outcome outcome;
    outcome.verdict = task_verdict::succeeded;
    outcome.runTime = runTime;
    const bool fails = m_number == m_setup.failingWorker && m_heap.now().time_since_epoch() >= m_setup.faultStart;
    if (fails) {
        outcome.verdict = task_verdict::failed;
        outcome.why = reason::taskFailed;
        outcome.runTime = FailureTime;
    }
    ++m_running;
    m_stats.recordRun(entry, m_heap.now(), outcome.runTime);
    m_heap.schedule(m_heap.now() + outcome.runTime, [this, entry, task, outcome] {
        finish(entry, task, outcome);
    });
}

void sim_endpoint::finish(std::size_t entry, const task_id &task, const task_outcome &outcome)
{
    --m_running;
    answer(entry, task, outcome, m_allocator.release(entryId(entry), m_heap.now()));
    runHeld();
}

void sim_endpoint::hold(const held_start &start)
{
    m_stats.heldStarts += m_stats.isMeasured(m_heap.now()) ? 1 : 0;
    m_held.add(entryId(start.entry), start.task, start, m_heap.now() + credit_allocator::MaxHoldTime);
    m_heap.schedule(m_heap.now() + credit_allocator::MaxHoldTime, [this] {
        expire();
    });
}

void sim_endpoint::expire()
{
    while (const auto start = m_held.takeExpired(m_heap.now())) {
        ++m_stats.declinedStarts;
        task_outcome outcome;
        outcome.verdict = task_verdict::notStarted;
        outcome.why = reason::overloaded;
        answer(start->entry, start->task, outcome, m_allocator.dropHeld(entryId(start->entry), m_heap.now()));
    }
    runHeld();
}

void sim_endpoint::runHeld()
{
    while (const auto next = m_allocator.takeHeld()) {
        const auto start = m_held.takeOldest(*next);
        run(start->entry, start->task, start->runTime);
    }
}

void sim_endpoint::answer(std::size_t entry, const task_id &task, const task_outcome &outcome, const std::vector<credit_grant> &grants)
{
    const std::int32_t own = sendToOtherEntries(entry, grants);
    m_network.sendResult(m_number, entry, task, outcome, own);
}

// Sends the credit changes of all other entries, each of which counts as a wasted message, and returns the change of the given entry,
// which is sent with its result.
std::int32_t sim_endpoint::sendToOtherEntries(std::size_t entry, const std::vector<credit_grant> &grants)
{
    std::int32_t own = 0;
    for (const credit_grant &grant : grants) {
        if (grant.entry == entryId(entry)) {
            own += grant.delta;
            continue;
        }
        m_stats.wastedMessages += m_stats.isMeasured(m_heap.now()) ? 1 : 0;
        m_network.sendCredits(m_number, static_cast<std::size_t>(grant.entry.value - 1), grant.delta);
    }
    return own;
}

} // namespace teaselward
