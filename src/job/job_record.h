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

/** Job that has no final answer yet. */
struct job_record {
    std::uint64_t sequence = 0; ///< Sequence number of its ticket.
    std::string kind;
    request_digest digest{}; ///< Digest of its submission.
    mono_time deadline{};
    timer_queue<std::uint64_t>::handle deadlineTimer;
    std::chrono::milliseconds startTimeout{}; ///< The job is refused if it has not started this long after the submission; zero if its kind has no objective.
    std::optional<timer_queue<std::uint64_t>::handle> startTimer;
    std::vector<task_record> tasks;
    std::size_t unfinished = 0; ///< Tasks without a result.
    std::size_t queued = 0; ///< Tasks in the queue.
    std::size_t started = 0; ///< Tasks that may have been started; if it is zero and hasRun is false, a failure says "not run".
    std::size_t ambiguous = 0; ///< Placed tasks that may or may not have been started.
    std::vector<job_waiter> waiters;
    std::vector<std::uint64_t> joined; ///< Sequence numbers of the tickets that were joined to this job by its client key.
    std::size_t bytes = 0; ///< Memory use of the record and its payloads.
    std::string key; ///< Client key given by the caller; may be empty.
    task_resources needs; ///< Resources that each task needs at its endpoint.
    std::chrono::milliseconds estimate{}; ///< Run time of a task as declared by the caller; zero if unknown.
    bool needsCaller = false; ///< Whether tasks may only start while a caller is known to be connected.
    bool restartable = false; ///< Whether tasks may be started again after a failed or interrupted run.
    std::uint32_t attempts = 1; ///< Number of failed runs of one restartable task at which the job fails.
    bool hasRun = false; ///< Whether a run ended without a result; the answer must then not say "not run".
};

} // namespace teaselward
