#include "sim/decision_cost_case.h"

#include "place/slot_table.h"
#include "share/task_queue.h"

#include <array>
#include <cstdio>
#include <ctime>
#include <deque>
#include <string>
#include <utility>

namespace teaselward
{

namespace
{

constexpr std::uint32_t Slots = 8;
constexpr std::uint32_t TasksPerJob = 10;
constexpr std::uint32_t Jobs = 30000;
constexpr std::array<std::string_view, 3> Kinds = {"urgent", "usual", "patient"};

double cpuSeconds()
{
    timespec time{};
    clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &time);
    return static_cast<double>(time.tv_sec) + static_cast<double>(time.tv_nsec) / 1e9;
}

// Measures the most expensive case, in which all slots are busy: each job is admitted and queued, and its tasks are placed when
// slots become free.
double cpuMicrosecondsPerTask(std::uint32_t agents, std::uint64_t seed)
{
    slot_table slots("credits", seed);
    task_queue queue;
    auto rules = std::make_shared<rule_set>();
    for (const auto kind : Kinds) {
        rules->kinds[std::string(kind)].queueLimit = agents * Slots + 4096;
    }
    queue.setRules(rules);
    mono_time now{};
    for (std::uint32_t agent = 0; agent < agents; ++agent) {
        agent_info info;
        info.id = {agent + 1};
        info.slots = Slots;
        info.failureDomain = std::to_string(agent % 6);
        info.kinds.assign(Kinds.begin(), Kinds.end());
        slots.join(info, Slots, std::chrono::seconds(2), now);
    }
    std::deque<std::pair<agent_id, queued_task>> running;
    const std::function<bool(std::string_view)> placeable = [&](std::string_view kind) {
        return slots.isPlaceable(kind, now);
    };
    task_outcome outcome;
    outcome.verdict = task_verdict::succeeded;
    outcome.runTime = std::chrono::milliseconds(300);
    const double start = cpuSeconds();
    std::uint64_t tasks = 0;
    for (std::uint32_t number = 0; number < Jobs; ++number) {
        now += std::chrono::microseconds(100);
        job_request job;
        job.kind = Kinds[number % Kinds.size()];
        job.team = "team" + std::to_string(number % 4);
        job.timeLimit = std::chrono::hours(1);
        job.payloads.resize(TasksPerJob);
        if (queue.admit(job, slots.slots(job.kind), now).why != reason::none) {
            continue;
        }
        for (std::uint32_t index = 0; index < TasksPerJob; ++index) {
            queue.push({{{1, number}, index}, job.kind, job.team, now + job.timeLimit}, now);
        }
        while (auto task = queue.pop(placeable, now)) {
            const auto agent = slots.acquire(task->kind, now);
            running.emplace_back(*agent, std::move(*task));
            ++tasks;
        }
        while (running.size() > static_cast<std::size_t>(agents) * Slots - TasksPerJob) {
            slots.release(running.front().first, running.front().second.kind, outcome, 1, now);
            queue.finish(running.front().second, outcome, now);
            running.pop_front();
        }
    }
    return 1e6 * (cpuSeconds() - start) / static_cast<double>(tasks);
}

} // namespace

void runDecisionCostCase(bench_report &report, std::uint64_t seed)
{
    report.writeLine("(f) processor time per task in queue and placement: on standard error, not part of the signature; target <= 4 us");
    for (const std::uint32_t agents : {11U, 3200U}) {
        std::array<char, 100> line{};
        std::snprintf(line.data(), line.size(), "(f) %5u slots: %.2f us/task", agents * Slots, cpuMicrosecondsPerTask(agents, seed));
        report.writeNote(line.data());
    }
}

} // namespace teaselward
