#include "chain/run_log.h"

#include "core/concat.h"

#include <chrono>
#include <cstdint>
#include <string_view>

namespace teaselward
{

namespace
{

// Milliseconds since the begin of the simulation.
std::int64_t millisOf(mono_time time)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(time.time_since_epoch() - std::chrono::hours(1)).count();
}

std::string runText(std::string_view what, std::size_t worker, const run_id &id)
{
    return concat(what, " job=", id.job, " task=", id.index, " attempt=", id.attempt, " worker=", worker);
}

} // namespace

run_log::run_log(logger &log)
    : m_log(log)
{
}

void run_log::began(std::size_t worker, const run_id &id, mono_time now)
{
    ++m_runs;
    if (m_log.isEnabled()) {
        m_log.write(log_part::platform, runText("A run began.", worker, id));
    }
    std::vector<live_run> &live = m_live[{id.job, id.index}];
    for (const live_run &other : live) {
        m_overlaps.push_back(concat("task ",
                                    id.job,
                                    ".",
                                    id.index,
                                    ": run ",
                                    id.attempt,
                                    " at worker ",
                                    worker,
                                    " began at ",
                                    millisOf(now),
                                    " ms beside run ",
                                    other.id.attempt,
                                    " at worker ",
                                    other.worker,
                                    " since ",
                                    millisOf(other.since),
                                    " ms"));
    }
    live.push_back({.worker = worker, .id = id, .since = now});
}

void run_log::ended(std::size_t worker, const run_id &id)
{
    const auto found = m_live.find({id.job, id.index});
    if (found == m_live.end()) {
        return;
    }
    if (m_log.isEnabled()) {
        m_log.write(log_part::platform, runText("A run ended.", worker, id));
    }
    std::erase_if(found->second, [worker, &id](const live_run &run) {
        return run.worker == worker && run.id == id;
    });
    if (found->second.empty()) {
        m_live.erase(found);
    }
}

std::size_t run_log::runs() const
{
    return m_runs;
}

const std::vector<std::string> &run_log::overlaps() const
{
    return m_overlaps;
}

} // namespace teaselward
