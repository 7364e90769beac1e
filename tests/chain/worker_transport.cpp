#include "chain/worker_transport.h"

#include "agent/run/call_dispatcher.h"
#include "platform/worker_client_settings.h"

#include <algorithm>
#include <limits>
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

bool worker_transport::hasChannels() const
{
    return m_faults.silentCrashes > 0;
}

void worker_transport::reconnect()
{
    m_channels.clear();
    m_adopted = m_worker.born();
}

std::size_t worker_transport::idleConnections() const
{
    if (!hasChannels()) {
        return std::numeric_limits<std::size_t>::max();
    }
    return static_cast<std::size_t>(std::ranges::count_if(m_channels, [](const auto &item) {
        return item.second.isConfirmed && !item.second.isBusy;
    }));
}

std::size_t worker_transport::openingLists() const
{
    return static_cast<std::size_t>(std::ranges::count_if(m_channels, [](const auto &item) {
        return !item.second.isConfirmed && item.second.isBusy;
    }));
}

// Returns the connection for a call, an idle one if possible; zero if the call must not be sent.
worker_transport::channel_id worker_transport::takeChannel(const run_call &call)
{
    const bool needsConfirmed = call_dispatcher::needsConfirmed(call);
    const auto found = std::ranges::find_if(m_channels, [needsConfirmed](const auto &item) {
        return !item.second.isBusy && (item.second.isConfirmed || !needsConfirmed);
    });
    if (found == m_channels.end() && needsConfirmed) {
        return 0;
    }
    const channel_id channel = found != m_channels.end() ? found->first : ++m_lastChannel;
    if (found == m_channels.end()) {
        m_channels[channel].life = m_worker.isAlive() ? m_worker.life() : 0;
    }
    m_channels[channel].isBusy = true;
    return channel;
}

// A call that timed out closes its connection.
void worker_transport::releaseChannel(channel_id channel, const run_call &call, call_result result, const list_runs_result &lists)
{
    const auto found = m_channels.find(channel);
    if (found == m_channels.end()) {
        return;
    }
    if (result == call_result::unanswered) {
        m_channels.erase(found);
        return;
    }
    found->second.isBusy = false;
    if (std::holds_alternative<list_runs>(call) && result == call_result::accepted && lists.endpointStart == m_adopted) {
        found->second.isConfirmed = true;
    }
}

void worker_transport::send(const run_call &call, const answer_function &given)
{
    const channel_id channel = hasChannels() ? takeChannel(call) : 0;
    if (hasChannels() && channel == 0) {
        given(call_result::unsent, {});
        return;
    }
    const auto answer = [this, call, channel, given](call_result result, const list_runs_result &lists) {
        releaseChannel(channel, call, result, lists);
        given(result, lists);
    };
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
        m_timeline.after(delay, [this, call, channel, ignore] {
            deliver(call, channel, ignore);
        });
    } else {
        m_timeline.after(delay, [this, call, channel, isAnswered, answer] {
            deliver(call, channel, [this, isAnswered, answer](call_result result, const list_runs_result &lists) {
                m_timeline.after(m_random.between(MinDelay, MaxDelay), [isAnswered, answer, result, lists] {
                    if (!std::exchange(*isAnswered, true)) {
                        answer(result, lists);
                    }
                });
            });
        });
    }
}

// A connection does not outlive the life that accepted it. The HTTP client repeats a call on a new connection if the worker has closed the
// one that it was sent through, unless the call must not be sent there.
void worker_transport::deliver(const run_call &call, channel_id channel, const answer_function &answer)
{
    if (!hasChannels()) {
        execute(call, answer);
        return;
    }
    if (m_worker.isSilent()) {
        return;
    }
    const auto found = m_channels.find(channel);
    const bool isClosed = found == m_channels.end() || (m_worker.isAlive() && found->second.life != m_worker.life());
    if (isClosed && call_dispatcher::needsConfirmed(call)) {
        answer(call_result::unanswered, {});
        return;
    }
    if (isClosed && found != m_channels.end()) {
        found->second = {.life = m_worker.life(), .isBusy = true, .isConfirmed = false};
    }
    execute(call, answer);
}

void worker_transport::execute(const run_call &call, const answer_function &answer)
{
    if (m_worker.isSilent()) {
        return;
    }
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
