#include "core/reason_text.h"
#include "scenario/scenario_script.h"
#include "scenario/script_error.h"

#include <absl/strings/str_cat.h>

#include <utility>

// The functions that scripts call. Entries, agents, requests and tickets are passed as indices that start at 0.

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
    m_cluster = std::make_unique<simulated_cluster>(m_settings);
    return 0;
}

int scenario_script::setRules()
{
    lua_settop(m_state, 1);
    cluster().applyRules(readRules(1));
    return 0;
}

int scenario_script::tickets()
{
    const auto entry = toIndex(1, m_settings.entries);
    const auto issued = cluster().takeTickets(entry, static_cast<std::uint32_t>(toInteger(2)));
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
    const auto entry = toIndex(1, m_settings.entries);
    const auto number = static_cast<std::size_t>(field("ticket", 0));
    job_request job;
    job.source = m_tickets.at(number);
    job.kind = stringField("kind", "check");
    job.team = stringField("team", "default");
    job.key = stringField("key", "");
    job.timeLimit = std::chrono::milliseconds(field("limit", 10000));
    const auto tasks = field("tasks", 1);
    const auto duration = field("ms", 100);
    for (std::int64_t i = 0; i < tasks; ++i) {
        job.payloads.push_back(absl::StrCat(number, ".", i, ":", duration));
    }
    lua_pushinteger(m_state, static_cast<lua_Integer>(cluster().submit(entry, job)));
    return 1;
}

int scenario_script::query()
{
    const auto number = cluster().query(toIndex(1, m_settings.entries), toTicket(2), std::chrono::milliseconds(toInteger(3)));
    lua_pushinteger(m_state, static_cast<lua_Integer>(number));
    return 1;
}

int scenario_script::cancel()
{
    const auto number = cluster().cancel(toIndex(1, m_settings.entries), toTicket(2));
    lua_pushinteger(m_state, static_cast<lua_Integer>(number));
    return 1;
}

int scenario_script::answer()
{
    constexpr const char *states[] = {"refused", "running", "complete", "failed"};
    const request_record &record = cluster().request(static_cast<std::size_t>(toInteger(1)));
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
    const auto elapsed = std::chrono::duration_cast<std::chrono::milliseconds>(record.answeredAt - record.sentAt);
    lua_pushinteger(m_state, elapsed.count());
    lua_setfield(m_state, -2, "elapsed_ms");
    return 1;
}

int scenario_script::advance()
{
    cluster().run(std::chrono::milliseconds(toInteger(1)));
    return 0;
}

int scenario_script::fault()
{
    using action = void (simulated_cluster::*)(std::size_t);
    static const std::vector<std::pair<std::string_view, action>> entryFaults = {
        {"kill_entry", &simulated_cluster::killEntry},
        {"start_entry", &simulated_cluster::startEntry},
        {"pause_entry", &simulated_cluster::pauseEntry},
        {"resume_entry", &simulated_cluster::resumeEntry},
        {"drain_entry", &simulated_cluster::drainEntry},
    };
    static const std::vector<std::pair<std::string_view, action>> agentFaults = {
        {"kill_agent", &simulated_cluster::killAgent},
        {"start_agent", &simulated_cluster::startAgent},
        {"pause_agent", &simulated_cluster::pauseAgent},
        {"resume_agent", &simulated_cluster::resumeAgent},
        {"drain_agent", &simulated_cluster::drainAgent},
    };
    const std::string name = toString(1);
    for (const auto &[candidate, call] : entryFaults) {
        if (candidate == name) {
            (cluster().*call)(toIndex(2, m_settings.entries));
            return 0;
        }
    }
    for (const auto &[candidate, call] : agentFaults) {
        if (candidate == name) {
            (cluster().*call)(toIndex(2, m_settings.agents));
            return 0;
        }
    }
    throw script_error("no such fault: " + name);
}

int scenario_script::cut()
{
    cluster().cut(toIndex(1, m_settings.entries), toIndex(2, m_settings.agents));
    return 0;
}

int scenario_script::heal()
{
    cluster().heal(toIndex(1, m_settings.entries), toIndex(2, m_settings.agents));
    return 0;
}

int scenario_script::cutEntries()
{
    cluster().cutEntries(toIndex(1, m_settings.entries), toIndex(2, m_settings.entries));
    return 0;
}

int scenario_script::healEntries()
{
    cluster().healEntries(toIndex(1, m_settings.entries), toIndex(2, m_settings.entries));
    return 0;
}

int scenario_script::setEndpoint()
{
    static const std::vector<std::pair<std::string_view, endpoint_mode>> modes = {
        {"ok", endpoint_mode::ok},
        {"fail", endpoint_mode::fail},
        {"refuse", endpoint_mode::refuse},
        {"silent", endpoint_mode::silent},
    };
    const auto agent = toIndex(1, m_settings.agents);
    const std::string name = toString(2);
    for (const auto &[candidate, mode] : modes) {
        if (candidate == name) {
            cluster().setEndpoint(agent, mode);
            return 0;
        }
    }
    throw script_error("no such endpoint mode: " + name);
}

int scenario_script::random()
{
    lua_pushinteger(m_state, static_cast<lua_Integer>(cluster().random(static_cast<std::uint64_t>(toInteger(1)))));
    return 1;
}

int scenario_script::startsOn()
{
    lua_pushinteger(m_state, static_cast<lua_Integer>(cluster().startsOn(toIndex(1, m_settings.agents))));
    return 1;
}

int scenario_script::startsOf()
{
    lua_pushinteger(m_state, static_cast<lua_Integer>(cluster().checker().startsOf(toTicket(1).id)));
    return 1;
}

int scenario_script::drained()
{
    const bool isEntry = toString(1) == "entry";
    const bool value = isEntry ? cluster().isEntryDrained(toIndex(2, m_settings.entries)) : cluster().isAgentDrained(toIndex(2, m_settings.agents));
    lua_pushboolean(m_state, value ? 1 : 0);
    return 1;
}

int scenario_script::disableGuard()
{
    static const std::vector<std::pair<std::string_view, void (simulated_cluster::*)()>> guards = {
        {"revoke", &simulated_cluster::disableRevokeGuard},
        {"incarnation", &simulated_cluster::disableIncarnationGuard},
        {"fence", &simulated_cluster::disableFenceGuard},
        {"leaving", &simulated_cluster::disableLeavingGuard},
    };
    const std::string name = toString(1);
    for (const auto &[candidate, call] : guards) {
        if (candidate == name) {
            (cluster().*call)();
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
        throw script_error(where + "expected: " + toString(2));
    }
    return 0;
}

int scenario_script::violations()
{
    const auto found = cluster().violations();
    lua_createtable(m_state, static_cast<int>(found.size()), 0);
    for (std::size_t i = 0; i < found.size(); ++i) {
        lua_pushstring(m_state, found[i].c_str());
        lua_rawseti(m_state, -2, static_cast<lua_Integer>(i) + 1);
    }
    return 1;
}

} // namespace teaselward::testing
