#include "chain/chain_simulation.h"

namespace teaselward
{

namespace
{

using namespace std::chrono_literals;

constexpr std::chrono::milliseconds CallerLimit = 1500ms; // The time that callers of short tasks wait.
constexpr std::chrono::microseconds MinFreeze = 2500ms;
constexpr std::chrono::microseconds MaxFreeze = 4500ms;
constexpr std::chrono::milliseconds LateSubmission = 1s; // The load balancer notices a frozen entry after a second or two.
constexpr std::chrono::microseconds MinWork = 600ms;
constexpr std::chrono::microseconds MaxWork = 1400ms;
constexpr std::chrono::milliseconds RestTime = 8s; // Time after which all jobs of a freeze have ended.
constexpr std::size_t JobsOfFreeze = 4;
constexpr std::size_t TasksOfJob = 2;

// A thread that goes on late waits for its processor behind the backlog of the others.
constexpr std::chrono::microseconds MinThreadDelay = 260ms;
constexpr std::chrono::microseconds MaxThreadDelay = 800ms;

} // namespace

void chain_simulation::freezeEntries(freeze_pattern pattern, std::size_t rounds)
{
    m_timeline.runUntil(m_timeline.now() + 1s);
    for (std::size_t round = 0; round < rounds; ++round) {
        const std::size_t entry = m_random.below(m_site.entries);
        simulated_process &process = m_entries[entry]->process();
        if (pattern.isLoaded) {
            submit(addJob(MaxWork, CallerLimit, TasksOfJob), entry);
            m_timeline.runUntil(m_timeline.now() + 100ms);
        }
        const auto length = m_random.between(MinFreeze, MaxFreeze);
        process.freeze(length);
        if (pattern.isListenerLate) {
            process.freeze(process_lane::listener, length + m_random.between(MinThreadDelay, MaxThreadDelay));
        }
        if (pattern.isRpcLate) {
            process.freeze(process_lane::rpc, length + m_random.between(MinThreadDelay, MaxThreadDelay));
        }
        for (std::size_t i = 0; i < JobsOfFreeze; ++i) {
            const std::size_t job = addJob(m_random.between(MinWork, MaxWork), CallerLimit, TasksOfJob);
            m_timeline.after(m_random.between(0us, LateSubmission), [this, job, entry] {
                submit(job, entry);
            });
        }
        m_timeline.runUntil(m_timeline.now() + length + RestTime);
    }
}

} // namespace teaselward
