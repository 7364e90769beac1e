#include "scenario/scenario_script.h"

#include "core/reason_text.h"
#include "scenario/script_error.h"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_join.h>

#include <utility>

namespace teaselward::testing
{

const std::vector<scenario_script::function_row> scenario_script::Functions = {
    {"start", &scenario_script::start}, // start{entries=, agents=, slots=, lease=, kinds={NAME={weight=, limit=}}, teams={NAME={quota=}}}
    {"tickets", &scenario_script::tickets}, // tickets(entry, count) -> list of tickets
    {"submit", &scenario_script::submit}, // submit(entry, {ticket=, kind=, team=, tasks=, ms=, limit=, key=}) -> request
    {"query", &scenario_script::query}, // query(entry, ticket, wait) -> request
    {"cancel", &scenario_script::cancel}, // cancel(entry, ticket) -> request
    {"answer", &scenario_script::answer}, // answer(request) -> {state=, reason=, not_run=, results=, after=} or nil
    {"run", &scenario_script::advance}, // run(milliseconds)
    {"fault", &scenario_script::fault}, // fault(name, position)
    {"cut", &scenario_script::cut}, // cut(entry, agent)
    {"heal", &scenario_script::heal}, // heal(entry, agent)
    {"cut_entries", &scenario_script::cutEntries}, // cut_entries(entry, entry)
    {"heal_entries", &scenario_script::healEntries}, // heal_entries(entry, entry)
    {"endpoint", &scenario_script::endpoint}, // endpoint(agent, "ok"|"fail"|"refuse"|"silent")
    {"rules", &scenario_script::rules}, // rules{kinds=, teams=}
    {"random", &scenario_script::random}, // random(n) -> 0 to n-1
    {"starts_at", &scenario_script::startsAt}, // starts_at(agent) -> tasks started there
    {"starts_of", &scenario_script::startsOf}, // starts_of(ticket) -> tasks started
    {"drained", &scenario_script::drained}, // drained("entry"|"agent", position) -> boolean
    {"guard_off", &scenario_script::guardOff}, // guard_off("revoke"|"ledger"|"fence")
    {"expect", &scenario_script::expect}, // expect(condition, text)
    {"violations", &scenario_script::violations}, // violations() -> list of texts
};

scenario_script::scenario_script(std::uint64_t seed)
    : m_seed(seed)
    , m_state(luaL_newstate())
{
    luaL_openlibs(m_state);
    *static_cast<scenario_script **>(lua_getextraspace(m_state)) = this;
    for (std::size_t i = 0; i < Functions.size(); ++i) {
        lua_pushinteger(m_state, static_cast<lua_Integer>(i));
        lua_pushcclosure(m_state, &scenario_script::invoke, 1);
        lua_setglobal(m_state, Functions[i].name);
    }
    lua_pushinteger(m_state, static_cast<lua_Integer>(seed));
    lua_setglobal(m_state, "seed");
}

scenario_script::~scenario_script()
{
    lua_close(m_state);
}

// Calls a function of the table. Lua leaves a function by longjmp, so the error is raised only after every destructor has run.
int scenario_script::invoke(lua_State *state)
{
    auto *self = *static_cast<scenario_script **>(lua_getextraspace(state));
    const auto row = static_cast<std::size_t>(lua_tointeger(state, lua_upvalueindex(1)));
    try {
        return (self->*Functions[row].call)();
    } catch (const std::exception &error) {
        lua_pushstring(state, error.what());
    }
    return lua_error(state);
}

void scenario_script::run(const std::string &path)
{
    if (luaL_dofile(m_state, path.c_str()) != LUA_OK) {
        throw script_error(absl::StrCat(lua_tostring(m_state, -1), " (seed ", m_seed, ")"));
    }
}

std::size_t scenario_script::starts() const
{
    return m_world ? m_world->record().starts() : 0;
}

world &scenario_script::current()
{
    if (!m_world) {
        throw script_error("start{} must come first");
    }
    return *m_world;
}

std::int64_t scenario_script::integer(int index)
{
    int isNumber = 0;
    const auto value = lua_tointegerx(m_state, index, &isNumber);
    if (isNumber == 0) {
        throw script_error(absl::StrCat("argument ", index, " is not a whole number"));
    }
    return value;
}

std::string scenario_script::text(int index)
{
    if (lua_isstring(m_state, index) == 0) {
        throw script_error(absl::StrCat("argument ", index, " is not a text"));
    }
    return lua_tostring(m_state, index);
}

std::size_t scenario_script::position(int index, std::size_t bound)
{
    const auto value = integer(index);
    if (value < 0 || static_cast<std::size_t>(value) >= bound) {
        throw script_error(absl::StrCat("position ", value, " is out of range"));
    }
    return static_cast<std::size_t>(value);
}

const ticket &scenario_script::ticketAt(int index)
{
    return m_tickets[position(index, m_tickets.size())];
}

// The field functions read from the table on top of the stack.
std::int64_t scenario_script::field(const char *name, std::int64_t fallback)
{
    lua_getfield(m_state, -1, name);
    const std::int64_t value = lua_isnil(m_state, -1) ? fallback : integer(-1);
    lua_pop(m_state, 1);
    return value;
}

double scenario_script::decimalField(const char *name, double fallback)
{
    lua_getfield(m_state, -1, name);
    const double value = lua_isnil(m_state, -1) ? fallback : lua_tonumber(m_state, -1);
    lua_pop(m_state, 1);
    return value;
}

std::string scenario_script::textField(const char *name, const std::string &fallback)
{
    lua_getfield(m_state, -1, name);
    std::string value = lua_isnil(m_state, -1) ? fallback : text(-1);
    lua_pop(m_state, 1);
    return value;
}

kind_rule scenario_script::readKind()
{
    kind_rule rule;
    rule.weight = decimalField("weight", 1);
    rule.floor = decimalField("floor", 0);
    rule.timeLimit = std::chrono::milliseconds(field("limit", 10000));
    rule.queueLimit = static_cast<std::uint32_t>(field("queue", 4096));
    return rule;
}

rule_set scenario_script::readRules(int index)
{
    rule_set result;
    result.offset = m_settings.rules.offset + 1;
    lua_getfield(m_state, index, "kinds");
    for (lua_pushnil(m_state); lua_istable(m_state, -2) && lua_next(m_state, -2) != 0; lua_pop(m_state, 1)) {
        result.kinds[lua_tostring(m_state, -2)] = readKind();
    }
    lua_settop(m_state, index);
    lua_getfield(m_state, index, "teams");
    if (lua_istable(m_state, -1)) {
        for (lua_pushnil(m_state); lua_next(m_state, -2) != 0; lua_pop(m_state, 1)) {
            result.teams[lua_tostring(m_state, -2)] = team_rule{decimalField("weight", 1), static_cast<std::uint32_t>(field("quota", 0))};
        }
    }
    lua_settop(m_state, index);
    if (result.kinds.empty()) {
        result.kinds["check"] = kind_rule{};
    }
    m_settings.rules = result;
    return result;
}

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
