#include "chain/worker_transport.h"

#include "platform/worker_client_settings.h"

#include <memory>
#include <utility>
#include <variant>

namespace teaselward
{

namespace
{

using namespace std::chrono_literals;

// Delay of a call or an answer on one machine.
constexpr std::chrono::microseconds MinDelay = 50us;
constexpr std::chrono::microseconds MaxDelay = 800us;

// Delay of a call that is carried out late.
constexpr std::chrono::microseconds MinLateDelay = 2s;
constexpr std::chrono::microseconds MaxLateDelay = 12s;

} // namespace

worker_transport::worker_transport(simulated_worker &worker, const chain_faults &faults, virtual_timeline &timeline, seeded_random &random)
    : m_worker(worker)
    , m_faults(faults)
    , m_timeline(timeline)
    , m_random(random)
{
}

void worker_transport::send(const run_call &call, const answer_function &answer)
{
    const auto *list = std::get_if<list_runs>(&call);
    const auto limit = worker_client_settings().callLimit + (list != nullptr ? list->wait : 0ms);
    const auto isAnswered = std::make_shared<bool>(false);
    m_timeline.after(limit, [isAnswered, answer] {
        if (!std::exchange(*isAnswered, true)) {
            answer(call_result::unanswered, {});
        }
    });
    const auto ignore = [](call_result, const list_runs_result &) {};
    const auto delay = m_random.between(MinDelay, MaxDelay);
    if (m_random.chance(list != nullptr ? m_faults.lateLists : m_faults.lateOrders)) {
        m_timeline.after(m_random.between(MinLateDelay, MaxLateDelay), [this, call, ignore] {
            execute(call, ignore);
        });
    } else if (m_random.chance(m_faults.lostAnswers)) {
        m_timeline.after(delay, [this, call, ignore] {
            execute(call, ignore);
        });
    } else {
        m_timeline.after(delay, [this, call, isAnswered, answer] {
            execute(call, [this, isAnswered, answer](call_result result, const list_runs_result &lists) {
                m_timeline.after(m_random.between(MinDelay, MaxDelay), [isAnswered, answer, result, lists] {
                    if (!std::exchange(*isAnswered, true)) {
                        answer(result, lists);
                    }
                });
            });
        });
    }
}

void worker_transport::execute(const run_call &call, const answer_function &answer)
{
    if (!m_worker.isAlive()) {
        answer(call_result::unreachable, {});
    } else if (const auto *start = std::get_if<start_run>(&call)) {
        answer(m_worker.start(*start), {});
    } else if (const auto *stop = std::get_if<stop_run>(&call)) {
        answer(m_worker.stop(*stop), {});
    } else {
        m_worker.list(std::get<list_runs>(call), [answer](const list_runs_result &lists) {
            answer(lists.result, lists);
        });
    }
}

} // namespace teaselward
