#pragma once

#include "job/entry_core.h"
#include "log/null_logger.h"

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <iterator>
#include <memory>
#include <stdexcept>
#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace teaselward
{

/** Drives a single entry core with a manual clock and gives access to its actions by type. */
class entry_fixture
{
public:
    explicit entry_fixture(entry_core_settings settings = defaultSettings())
        : settings(std::move(settings))
        , core(this->settings, now, log)
    {
        applyRules(1);
    }

    static entry_core_settings defaultSettings()
    {
        entry_core_settings settings;
        settings.self = {.id = {100}, .address = "10.0.0.1:1", .failureDomain = "a"};
        return settings;
    }

    /** Passes an event to the core. Its actions replace the previous ones. */
    void handle(const entry_event &event)
    {
        actions.clear();
        core.handle(event, now, actions);
    }

    /** Advances the clock, with timer events whenever they are due, and collects all resulting actions. */
    void advance(std::chrono::milliseconds time)
    {
        const mono_time end = now + time;
        std::vector<entry_action> collected;
        while (core.nextDue() <= end) {
            now = std::max(now, core.nextDue());
            handle(timer_fired{});
            std::move(actions.begin(), actions.end(), std::back_inserter(collected));
            ++wakeups;
        }
        now = end;
        actions = std::move(collected);
    }

    void applyRules(std::uint64_t offset, std::uint32_t queueLimit = 4096)
    {
        auto rules = std::make_shared<rule_set>();
        rules->offset = offset;
        kind_rule rule;
        rule.queueLimit = queueLimit;
        rules->kinds["check"] = rule;
        handle(rules_applied{.rules = rules});
    }

    agent_info agentInfo(std::uint64_t id, const std::string &address) const
    {
        agent_info info;
        info.id = {id};
        info.address = address;
        info.slots = 8;
        info.kinds = {"check"};
        return info;
    }

    void joinAgent(std::uint64_t id, std::uint32_t credits = 8, const std::string &address = {})
    {
        handle(agent_joined{
            .info = agentInfo(id, address.empty() ? "10.1.0." + std::to_string(id) + ":1" : address), .credits = credits, .lease = std::chrono::seconds(2)});
    }

    ticket issue()
    {
        handle(ticket_requested{.request = nextRequest(), .count = 1});
        return get<reply_tickets>().tickets.at(0);
    }

    request_id nextRequest()
    {
        return {.origin = request_origin::caller, .number = ++m_requests};
    }

    job_request jobFor(const ticket &source, std::size_t tasks = 1) const
    {
        job_request job;
        job.source = source;
        job.team = "team";
        job.kind = "check";
        for (std::size_t i = 0; i < tasks; ++i) {
            job.payloads.push_back("payload " + std::to_string(i));
        }
        return job;
    }

    request_id submit(const job_request &job)
    {
        const request_id request = nextRequest();
        handle(job_submitted{.request = request, .job = job});
        return request;
    }

    request_id query(const ticket &source, std::chrono::milliseconds wait = {})
    {
        const request_id request = nextRequest();
        handle(job_queried{.request = request, .source = source, .wait = wait});
        return request;
    }

    request_id cancel(const ticket &source)
    {
        const request_id request = nextRequest();
        handle(job_cancelled{.request = request, .source = source});
        return request;
    }

    static task_outcome outcome(task_verdict verdict, const std::string &body = {}, reason why = reason::none)
    {
        return {.verdict = verdict, .why = why, .body = body, .runTime = std::chrono::milliseconds(1)};
    }

    void finish(const start_task &start, const task_outcome &outcome, std::int32_t credits = 1)
    {
        handle(task_finished{.agent = start.agent, .id = start.order.id, .outcome = outcome, .credits = credits});
    }

    void succeed(const start_task &start, const std::string &body = "ok")
    {
        finish(start, outcome(task_verdict::succeeded, body));
    }

    void revoked(const start_task &start, agent_task_state state, const task_outcome &outcome = {})
    {
        handle(task_revoked{.agent = start.agent, .held = {.id = start.order.id, .state = state, .outcome = outcome}});
    }

    /** @return all actions of one type */
    template<typename Action>
    std::vector<Action> all() const
    {
        std::vector<Action> found;
        for (const entry_action &action : actions) {
            if (const Action *one = std::get_if<Action>(&action); one != nullptr) {
                found.push_back(*one);
            }
        }
        return found;
    }

    /** @return the only action of one type */
    template<typename Action>
    Action get() const
    {
        const std::vector<Action> found = all<Action>();
        if (found.size() != 1) {
            throw std::runtime_error("expected one action, found " + std::to_string(found.size()));
        }
        return found.front();
    }

    template<typename Action>
    std::size_t count() const
    {
        return all<Action>().size();
    }

    mono_time now = mono_time(std::chrono::hours(1));
    null_logger log;
    entry_core_settings settings;
    entry_core core;
    std::vector<entry_action> actions;
    std::size_t wakeups = 0;

private:
    std::uint64_t m_requests = 0;
};

} // namespace teaselward
