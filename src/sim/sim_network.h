#pragma once

#include "core/task_id.h"
#include "core/task_outcome.h"

#include <chrono>
#include <cstddef>
#include <cstdint>

namespace teaselward
{

/** Network between the simulated entries and endpoints; each message arrives after the latency of its link. */
class sim_network
{
public:
    virtual ~sim_network() = default;

    /** Sends a start from an entry to a worker, after an additional delay at the entry. */
    virtual void sendStart(std::size_t entry, std::size_t worker, const task_id &task, std::chrono::microseconds runTime, std::chrono::microseconds delay) = 0;

    /** Sends the result of a start and a change of credits from a worker to an entry. */
    virtual void sendResult(std::size_t worker, std::size_t entry, const task_id &task, const task_outcome &outcome, std::int32_t credits) = 0;

    /** Sends a change of credits alone from a worker to an entry. */
    virtual void sendCredits(std::size_t worker, std::size_t entry, std::int32_t delta) = 0;
};

} // namespace teaselward
