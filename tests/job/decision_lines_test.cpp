#include "agent/agent_core.h"
#include "job/entry_core.h"
#include "job/entry_fixture.h"
#include "job/recording_log.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>

using namespace teaselward;
using namespace std::chrono_literals;

namespace
{

// Returns whether a part logged a line that starts with a sentence and contains a field.
bool hasLine(const recording_log &log, log_part part, const std::string &sentence, const std::string &field)
{
    return std::ranges::any_of(log.lines, [&](const auto &line) {
        return line.first == part && line.second.starts_with(sentence) && line.second.find(field) != std::string::npos;
    });
}

} // namespace

BOOST_AUTO_TEST_SUITE(decision_lines_test)

// Guards against decisions of an entry that are not logged, and against lines with the wrong ticket.
BOOST_AUTO_TEST_CASE(everyDecisionOfAnEntryHasALine)
{
    recording_log log;
    entry_core_settings settings = entry_fixture::defaultSettings();
    mono_time now{1h};
    entry_core core(settings, now, log);
    std::vector<entry_action> actions;
    auto rules = std::make_shared<rule_set>();
    rules->kinds["check"] = kind_rule();
    core.handle(rules_applied{.rules = rules}, now, actions);
    agent_info info;
    info.id = {1};
    info.slots = 8;
    info.kinds = {"check"};
    core.handle(agent_joined{.info = info, .credits = 1, .lease = 2s}, now, actions);
    core.handle(ticket_requested{.request = {}, .count = 2}, now, actions);
    job_request job;
    job.source = std::get<reply_tickets>(actions.at(0)).tickets.at(0);
    job.kind = "check";
    job.team = "team";
    job.payloads = {"x"};
    core.handle(job_submitted{.request = {}, .job = job}, now, actions);
    BOOST_TEST(hasLine(log, log_part::admit, "Admitted a job.", "ticket=100/1 kind=check team=team tasks=1"));
    BOOST_TEST(hasLine(log, log_part::place, "Placed a task.", "ticket=100/1 task=0 kind=check agent=1"));
    core.handle(start_unanswered{.agent = {1}, .id = {.ticket = job.source.id, .index = 0}}, now, actions);
    BOOST_TEST(hasLine(log, log_part::place, "Revoked a start.", "ticket=100/1 task=0 agent=1"));
    core.handle(agent_joined{.info = info, .credits = 1, .lease = 2s}, now, actions);
    const agent_task_status held{
        .id = {.ticket = job.source.id, .index = 0}, .state = agent_task_state::finished, .outcome = entry_fixture::outcome(task_verdict::succeeded)};
    core.handle(task_revoked{.agent = {1}, .held = held}, now, actions);
    BOOST_TEST(hasLine(log, log_part::job, "Completed a job.", "ticket=100/1 reason=none not_run=0"));
    job.kind = "other";
    job.source.id.sequence = 2;
    core.handle(job_submitted{.request = {}, .job = job}, now, actions);
    BOOST_TEST(hasLine(log, log_part::admit, "Refused a job.", "ticket=100/2 kind=other team=team tasks=1 reason=unknown_kind"));
    job.source = {.home = "10.0.0.2:1", .id = {.incarnation = 200, .sequence = 3}, .issuedAt = {}};
    core.handle(job_submitted{.request = {}, .job = job}, now, actions);
    BOOST_TEST(hasLine(log, log_part::route, "Forwarded a request.", "ticket=200/3 home=10.0.0.2:1"));
}

// Guards against decisions of an agent that are not logged.
BOOST_AUTO_TEST_CASE(everyDecisionOfAnAgentHasALine)
{
    recording_log log;
    agent_core_settings settings;
    settings.self.slots = 8;
    agent_core core(settings, log);
    std::vector<agent_action> actions;
    const mono_time now{1h};
    core.handle(entry_joined{.info = {.id = {100}, .address = "10.0.0.1:1", .failureDomain = "a"}}, now, actions);
    start_order order;
    order.id = {.ticket = {.incarnation = 100, .sequence = 1}, .index = 0};
    order.kind = "check";
    core.handle(start_received{.call = {1}, .from = {100}, .order = order}, now, actions);
    BOOST_TEST(hasLine(log, log_part::agent, "Started a task.", "ticket=100/1 task=0 kind=check entry=100"));
    core.handle(call_finished{.id = order.id, .outcome = entry_fixture::outcome(task_verdict::succeeded)}, now, actions);
    BOOST_TEST(hasLine(log, log_part::agent, "A task ended.", "ticket=100/1 task=0"));
    core.handle(fence_received{.call = {2}, .from = {200}, .ticket = order.id.ticket}, now, actions);
    BOOST_TEST(hasLine(log, log_part::agent, "Fenced a ticket.", "ticket=100/1 entry=200 held=1"));
    order.id.index = 1;
    core.handle(start_received{.call = {3}, .from = {100}, .order = order}, now, actions);
    BOOST_TEST(hasLine(log, log_part::agent, "Refused a start.", "ticket=100/1 task=1 entry=100 reason=outcome_unknown"));
    order.id.ticket.sequence = 2;
    order.crashAge = 15ms;
    core.handle(start_received{.call = {4}, .from = {100}, .order = order}, now, actions);
    order.id.ticket.sequence = 3;
    order.kind = "lookup";
    order.crashAge.reset();
    core.handle(start_received{.call = {5}, .from = {100}, .order = order}, now, actions);
    task_outcome lost = entry_fixture::outcome(task_verdict::interrupted);
    lost.endpointCrashed = true;
    core.handle(call_finished{.id = order.id, .outcome = lost}, now + 12ms, actions);
    BOOST_TEST(hasLine(log, log_part::agent, "The endpoint has crashed; refusing starts.", "runs=2 kinds=check,lookup youngest_ms=12 repeated=check"));
}

BOOST_AUTO_TEST_SUITE_END()
