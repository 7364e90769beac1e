#pragma once

#include "base/clock.h"
#include "job/job_waiter.h"
#include "job/request_digest.h"
#include "job/task_record.h"
#include "job/timer_queue.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace teaselward
{

/** Job that is not yet answered. */
struct job_record {
    std::uint64_t sequence = 0; ///< Sequence of its ticket.
    request_digest digest{};
    mono_time deadline{};
    timer_queue<std::uint64_t>::handle deadlineTimer;
    std::chrono::milliseconds startTimeout{}; ///< Without a start after this time the objective is missed; zero if there is none.
    std::optional<timer_queue<std::uint64_t>::handle> startTimer;
    std::vector<task_record> tasks;
    std::size_t unfinished = 0; ///< Tasks without a result.
    std::size_t queued = 0; ///< Tasks in the queue.
    std::size_t started = 0; ///< Tasks that may have been started; zero means "not run".
    std::size_t ambiguous = 0; ///< Placed tasks that may or may not have been started.
    std::vector<job_waiter> waiters;
    std::vector<std::uint64_t> joined; ///< Sequences of the tickets that a client key joined to this job.
    std::size_t bytes = 0; ///< Size of the payloads.
    std::string key; ///< Identifier of the caller; may be empty.
    task_resources needs; ///< What each task takes of its endpoint.
    std::chrono::milliseconds estimate{}; ///< Run time of a task as the caller declares it; zero if unknown.
    bool restartable = false; ///< Tasks may be started again.
    std::uint32_t attempts = 1; ///< Failed runs of a restartable task after which the job fails.
    bool hasRun = false; ///< A task was started and ended without a result; the answer can no longer say "not run".
};

} // namespace teaselward
