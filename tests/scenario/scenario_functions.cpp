#include "core/reason_text.h"
#include "scenario/scenario_script.h"
#include "scenario/script_error.h"

#include <absl/strings/str_cat.h>

#include <utility>

// Functions that scripts call.

namespace teaselward::testing
{

int scenario_script::start()
{
    lua_settop(m_state, 1);
    m_settings.seed = m_seed;
    m_settings.entries = static_cast<std::size_t>(field("entries", 2));
    m_settings.agents = static_cast<std::size_t>(field("agents", 2));
    m_settings.slots = static_cast<std::uint32_t>(field("slots", 4));
    m_settings.lease = std::chrono::milliseconds(field("lease", 2000));
    m_settings.ticketLifetime = std::chrono::milliseconds(field("ticket_lifetime", 600000));
    m_settings.rules = readRules(1);
    m_world = std::make_unique<world>(m_settings);
    return 0;
}

int scenario_script::rules()
{
    lua_settop(m_state, 1);
    current().applyRules(readRules(1));
    return 0;
}

int scenario_script::tickets()
{
    const auto entry = position(1, m_settings.entries);
    const auto issued = current().takeTickets(entry, static_cast<std::uint32_t>(integer(2)));
    lua_createtable(m_state, static_cast<int>(issued.size()), 0);
    for (std::size_t i = 0; i < issued.size(); ++i) {
        m_tickets.push_back(issued[i]);
        const std::size_t number = m_tickets.size() - 1;
        lua_pushinteger(m_state, static_cast<lua_Integer>(number));
        lua_rawseti(m_state, -2, static_cast<lua_Integer>(i) + 1);
    }
    return 1;
}

int scenario_script::submit()
{
    lua_settop(m_state, 2);
    const auto entry = position(1, m_settings.entries);
    const auto number = static_cast<std::size_t>(field("ticket", 0));
    job_request job;
    job.source = m_tickets.at(number);
    job.kind = textField("kind", "check");
    job.team = textField("team", "default");
    job.key = textField("key", "");
    job.timeLimit = std::chrono::milliseconds(field("limit", 10000));
    const auto tasks = field("tasks", 1);
    const auto duration = field("ms", 100);
    for (std::int64_t i = 0; i < tasks; ++i) {
        job.payloads.push_back(absl::StrCat(number, ".", i, ":", duration));
    }
    lua_pushinteger(m_state, static_cast<lua_Integer>(current().submit(entry, job)));
    return 1;
}

int scenario_script::query()
{
    const auto number = current().query(position(1, m_settings.entries), ticketAt(2), std::chrono::milliseconds(integer(3)));
    lua_pushinteger(m_state, static_cast<lua_Integer>(number));
    return 1;
}

int scenario_script::cancel()
{
    const auto number = current().cancel(position(1, m_settings.entries), ticketAt(2));
    lua_pushinteger(m_state, static_cast<lua_Integer>(number));
    return 1;
}

int scenario_script::answer()
{
    constexpr const char *states[] = {"refused", "running", "complete", "failed"};
    const request_record &record = current().request(static_cast<std::size_t>(integer(1)));
    if (record.answers == 0) {
        lua_pushnil(m_state);
        return 1;
    }
    lua_createtable(m_state, 0, 5);
    lua_pushstring(m_state, states[static_cast<std::size_t>(record.answer.state)]);
    lua_setfield(m_state, -2, "state");
    lua_pushstring(m_state, std::string(reasonText(record.answer.why)).c_str());
    lua_setfield(m_state, -2, "reason");
    lua_pushboolean(m_state, record.answer.notRun ? 1 : 0);
    lua_setfield(m_state, -2, "not_run");
    lua_pushinteger(m_state, static_cast<lua_Integer>(record.answer.results.size()));
    lua_setfield(m_state, -2, "results");
    const auto after = std::chrono::duration_cast<std::chrono::milliseconds>(record.answeredAt - record.sentAt);
    lua_pushinteger(m_state, after.count());
    lua_setfield(m_state, -2, "after");
    return 1;
}

int scenario_script::advance()
{
    current().run(std::chrono::milliseconds(integer(1)));
    return 0;
}

int scenario_script::fault()
{
    using action = void (world::*)(std::size_t);
    static const std::vector<std::pair<std::string_view, action>> entryFaults = {
        {"kill_entry", &world::killEntry},
        {"start_entry", &world::startEntry},
        {"pause_entry", &world::pauseEntry},
        {"resume_entry", &world::resumeEntry},
        {"drain_entry", &world::drainEntry},
    };
    static const std::vector<std::pair<std::string_view, action>> agentFaults = {
        {"kill_agent", &world::killAgent},
        {"start_agent", &world::startAgent},
        {"pause_agent", &world::pauseAgent},
        {"resume_agent", &world::resumeAgent},
        {"drain_agent", &world::drainAgent},
    };
    const std::string name = text(1);
    for (const auto &[candidate, call] : entryFaults) {
        if (candidate == name) {
            (current().*call)(position(2, m_settings.entries));
            return 0;
        }
    }
    for (const auto &[candidate, call] : agentFaults) {
        if (candidate == name) {
            (current().*call)(position(2, m_settings.agents));
            return 0;
        }
    }
    throw script_error("no such fault: " + name);
}

int scenario_script::cut()
{
    current().cut(position(1, m_settings.entries), position(2, m_settings.agents));
    return 0;
}

int scenario_script::heal()
{
    current().heal(position(1, m_settings.entries), position(2, m_settings.agents));
    return 0;
}

int scenario_script::cutEntries()
{
    current().cutEntries(position(1, m_settings.entries), position(2, m_settings.entries));
    return 0;
}

int scenario_script::healEntries()
{
    current().healEntries(position(1, m_settings.entries), position(2, m_settings.entries));
    return 0;
}

int scenario_script::endpoint()
{
    static const std::vector<std::pair<std::string_view, endpoint_mode>> modes = {
        {"ok", endpoint_mode::ok},
        {"fail", endpoint_mode::fail},
        {"refuse", endpoint_mode::refuse},
        {"silent", endpoint_mode::silent},
    };
    const auto agent = position(1, m_settings.agents);
    const std::string name = text(2);
    for (const auto &[candidate, mode] : modes) {
        if (candidate == name) {
            current().setEndpoint(agent, mode);
            return 0;
        }
    }
    throw script_error("no such endpoint mode: " + name);
}

int scenario_script::random()
{
    lua_pushinteger(m_state, static_cast<lua_Integer>(current().random(static_cast<std::uint64_t>(integer(1)))));
    return 1;
}

int scenario_script::startsAt()
{
    lua_pushinteger(m_state, static_cast<lua_Integer>(current().startsAt(position(1, m_settings.agents))));
    return 1;
}

int scenario_script::startsOf()
{
    lua_pushinteger(m_state, static_cast<lua_Integer>(current().record().startsOf(ticketAt(1).id)));
    return 1;
}

int scenario_script::drained()
{
    const bool isEntry = text(1) == "entry";
    const bool value = isEntry ? current().isDrained(position(2, m_settings.entries)) : current().isAgentDrained(position(2, m_settings.agents));
    lua_pushboolean(m_state, value ? 1 : 0);
    return 1;
}

int scenario_script::guardOff()
{
    static const std::vector<std::pair<std::string_view, void (world::*)()>> guards = {
        {"revoke", &world::answerRevokesUnasked},
        {"ledger", &world::forgetLedgers},
        {"fence", &world::answerFencesUnasked},
        {"leaving", &world::keepLeavingSilent},
    };
    const std::string name = text(1);
    for (const auto &[candidate, call] : guards) {
        if (candidate == name) {
            (current().*call)();
            return 0;
        }
    }
    throw script_error("no such guard: " + name);
}

int scenario_script::expect()
{
    if (lua_toboolean(m_state, 1) == 0) {
        luaL_where(m_state, 1);
        const std::string where = lua_tostring(m_state, -1);
        throw script_error(where + "expected: " + text(2));
    }
    return 0;
}

int scenario_script::violations()
{
    const auto found = current().violations();
    lua_createtable(m_state, static_cast<int>(found.size()), 0);
    for (std::size_t i = 0; i < found.size(); ++i) {
        lua_pushstring(m_state, found[i].c_str());
        lua_rawseti(m_state, -2, static_cast<lua_Integer>(i) + 1);
    }
    return 1;
}

} // namespace teaselward::testing
