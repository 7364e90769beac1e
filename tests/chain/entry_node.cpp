#include "chain/entry_node.h"

#include <algorithm>
#include <chrono>
#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace teaselward
{

namespace
{

using namespace std::chrono_literals;

constexpr std::uint64_t IncarnationsOfOne = 100'000;

} // namespace

entry_node::entry_node(
    std::size_t position, virtual_timeline &timeline, seeded_random &random, std::shared_ptr<const rule_set> rules, entry_node_links links, logger &log)
    : m_timeline(timeline)
    , m_rules(std::move(rules))
    , m_links(std::move(links))
    , m_log(log)
    , m_process(timeline, random)
    , m_frontEnd(timeline,
                 m_process,
                 [this](const entry_event &event) {
                     handle(event);
                 })
    , m_info{.id = {(position + 1) * IncarnationsOfOne}, .address = "10.0.0." + std::to_string(position) + ":1", .failureDomain = "a"}
{
    start();
}

void entry_node::start()
{
    ++m_info.id.value;
    entry_core_settings settings;
    settings.self = m_info;
    settings.sessionLease = 600ms;
    settings.ticketLifetime = 60s;
    settings.seed = m_info.id.value;
    m_core = std::make_unique<entry_core>(settings, m_timeline.now(), m_log);
    m_wake = mono_time::max();
    m_frontEnd.start();
    decide(rules_applied{.rules = m_rules});
}

void entry_node::handle(const entry_event &event)
{
    m_process.post(process_lane::decision, 0us, [this, event] {
        decide(event);
    });
}

void entry_node::decide(const entry_event &event)
{
    std::vector<entry_action> actions;
    m_core->handle(event, m_timeline.now(), actions);
    for (const entry_action &action : actions) {
        perform(action);
    }
    armTimer();
}

// The other actions wait in the ring of the RPC thread.
void entry_node::perform(const entry_action &action)
{
    if (const auto *reply = std::get_if<reply_job>(&action); reply != nullptr) {
        m_frontEnd.finish(reply->request.number);
        m_links.reply(reply->request, reply->answer);
        return;
    }
    m_process.post(process_lane::rpc, 0us, [this, action] {
        send(action);
    });
}

// A start for which there is no session gets no answer. A start that has expired in the ring is not sent.
void entry_node::send(const entry_action &action)
{
    const auto *start = std::get_if<start_task>(&action);
    if (start != nullptr && m_timeline.now() > start->expiresAt) {
        const task_outcome outcome{.verdict = task_verdict::notStarted, .why = reason::overloaded, .body = {}, .runTime = {}};
        handle(task_finished{.agent = start->agent, .id = start->order.id, .outcome = outcome, .credits = 1});
    } else if (!m_links.send(action) && start != nullptr) {
        handle(start_unanswered{.agent = start->agent, .id = start->order.id});
    }
}

void entry_node::armTimer()
{
    const mono_time due = m_core->nextDue();
    if (due >= m_wake || due == mono_time::max()) {
        return;
    }
    m_wake = due;
    m_process.wake(process_lane::decision, std::max(due - m_timeline.now(), mono_time::duration::zero()), [this] {
        m_wake = mono_time::max();
        decide(timer_fired{});
    });
}

void entry_node::kill()
{
    m_process.kill();
    m_core.reset();
}

void entry_node::restart()
{
    m_process.restart();
    start();
}

simulated_process &entry_node::process()
{
    return m_process;
}

simulated_front_end &entry_node::frontEnd()
{
    return m_frontEnd;
}

const entry_info &entry_node::info() const
{
    return m_info;
}

} // namespace teaselward
