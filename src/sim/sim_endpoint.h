#pragma once

#include "place/credit_allocator.h"
#include "sim/event_heap.h"
#include "sim/sim_held_starts.h"
#include "sim/sim_network.h"
#include "sim/sim_setup.h"
#include "sim/sim_stats.h"

#include <chrono>
#include <cstddef>
#include <cstdint>

namespace teaselward
{

/** Simulated agent and endpoint of one worker, which uses the production credit_allocator. */
class sim_endpoint
{
public:
    sim_endpoint(const sim_setup &setup, std::size_t number, event_heap &heap, sim_network &network, sim_stats &stats);

    /** Connects an entry. */
    void join(std::size_t entry);

    /** Disconnects an entry and drops its held starts. */
    void leave(std::size_t entry);

    /** Handles a start: runs it, holds it or answers it as not started. */
    void start(std::size_t entry, const task_id &task, std::chrono::microseconds runTime);

    /** @return number of running and held tasks */
    std::uint32_t load() const;

private:
    /** Start that waits for a slot. */
    struct held_start {
        std::size_t entry = 0;
        task_id task;
        std::chrono::microseconds runTime{};
    };

    static entry_id entryId(std::size_t entry);
    void run(std::size_t entry, const task_id &task, std::chrono::microseconds runTime);
    void finish(std::size_t entry, const task_id &task, const task_outcome &outcome);
    void hold(const held_start &start);
    void expire();
    void runHeld();
    void answer(std::size_t entry, const task_id &task, const task_outcome &outcome, const std::vector<credit_grant> &grants);
    std::int32_t sendToOtherEntries(std::size_t entry, const std::vector<credit_grant> &grants);

    const sim_setup &m_setup;
    std::size_t m_number;
    event_heap &m_heap;
    sim_network &m_network;
    sim_stats &m_stats;
    credit_allocator m_allocator;
    sim_held_starts<held_start> m_held;
    std::uint32_t m_running = 0;
};

} // namespace teaselward
