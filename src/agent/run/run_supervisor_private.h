#pragma once

#include "agent/run/run_supervisor.h"
#include "agent/run/supervised_run.h"
#include "core/task_outcome.h"

#include <absl/container/flat_hash_set.h>

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string_view>
#include <vector>

namespace teaselward::detail
{

/** State of run_supervisor. */
class run_supervisor_private
{
public:
    run_supervisor_private(const supervisor_settings &given, logger &lines);

    void sendList(std::chrono::milliseconds wait, mono_time now);
    std::chrono::milliseconds listWait() const;
    bool isListPending() const;
    void sendStart(supervised_run &run, mono_time now);
    void sendStop(supervised_run &run, mono_time now);
    void requestStop(supervised_run &run, reason why, mono_time now);
    void applyEnds(const list_runs_result &lists, mono_time now);
    void applyRunning(const list_runs_result &lists, mono_time now);
    void applyAbsent(const list_runs_result &lists, mono_time now);
    std::chrono::milliseconds stallLimit(const supervised_run &run) const;
    void checkProgress(supervised_run &run, const run_progress &progress, mono_time now);
    void logRun(std::string_view sentence, const supervised_run &run, std::string_view why = {});
    void finish(const run_id &id, task_verdict verdict, reason why, mono_time now);
    bool detectSilence(mono_time now);
    void markCrashed(call_result result, mono_time now);
    void markLost(std::string_view why, mono_time now);
    void raiseToken(mono_time now);
    supervised_run *find(const task_id &task);
    bool hasRunOfTask(const call_endpoint &order) const;
    std::chrono::milliseconds leaseEnd(mono_time now) const;
    bool isLeaseHeldBack(mono_time now) const;
    void addHome(const call_endpoint &order);
    void stopRunsOfLostHomes(mono_time now);
    mono_time homeEnd(const call_endpoint &order) const;
    mono_time endRequested(const supervised_run &run) const;

    const supervisor_settings settings;
    logger &log;
    std::map<run_id, supervised_run> runs; ///< Ordered, so that a seed of a simulation replays exactly.
    absl::flat_hash_set<run_id> orphans; ///< Runs that this agent did not request and is stopping.
    std::map<std::uint64_t, mono_time> homes; ///< Latest confirmation of each home session with runs.
    std::vector<run_call> calls;
    std::vector<call_finished> ends;
    std::uint64_t token = 0;
    std::uint64_t tokenStep = 1;
    std::uint64_t lastList = 0; ///< Number of the last list call that was sent.
    std::uint64_t newestAnswer = 0; ///< Number of the newest list call that was answered.
    std::uint64_t newestEnded = 0; ///< Number of the newest list call that was answered or has failed.
    std::uint64_t acknowledged = 0;
    std::optional<std::chrono::milliseconds> clockOffset; ///< Endpoint clock minus agent clock; never overestimated.
    mono_time clockOffsetAt{}; ///< Time at which clockOffset was measured.
    mono_time lastContact{}; ///< Time of the last answer of the endpoint.
    mono_time latestLeaseEnd{}; ///< No lease sent so far ends later, on the agent's clock.
    std::chrono::milliseconds latestLeaseSent{}; ///< The same on the endpoint's clock.
    mono_time nextList{};
    bool ready = false;
    bool lost = false;
    bool hasCrashed = false; ///< The instance is known to have ended, so its started runs were lost with it.
};

} // namespace teaselward::detail
