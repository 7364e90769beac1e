#include "scenario/scenario_script.h"

#include "scenario/script_error.h"

#include <absl/strings/str_cat.h>

namespace teaselward::testing
{

const std::vector<scenario_script::script_function> scenario_script::Functions = {
    {"start", &scenario_script::start}, // start{entries=, agents=, slots=, lease=, kinds={NAME={weight=, limit=}}, teams={NAME={quota=}}}
    {"tickets", &scenario_script::tickets}, // tickets(entry, count) -> list of new tickets
    {"submit", &scenario_script::submit}, // submit(entry, {ticket=, kind=, team=, tasks=, ms=, limit=, key=}) -> request
    {"query", &scenario_script::query}, // query(entry, ticket, wait) -> request
    {"cancel", &scenario_script::cancel}, // cancel(entry, ticket) -> request
    {"answer", &scenario_script::answer}, // answer(request) -> {state=, reason=, not_run=, results=, elapsed_ms=} or nil
    {"run", &scenario_script::advance}, // run(milliseconds): advances virtual time
    {"fault", &scenario_script::fault}, // fault("kill_entry"|"start_entry"|...|"drain_agent", index)
    {"cut", &scenario_script::cut}, // cut(entry, agent)
    {"heal", &scenario_script::heal}, // heal(entry, agent)
    {"cut_entries", &scenario_script::cutEntries}, // cut_entries(entry, entry)
    {"heal_entries", &scenario_script::healEntries}, // heal_entries(entry, entry)
    {"set_endpoint", &scenario_script::setEndpoint}, // set_endpoint(agent, "ok"|"fail"|"refuse"|"silent")
    {"set_rules", &scenario_script::setRules}, // set_rules{kinds=, teams=}
    {"random", &scenario_script::random}, // random(n) -> integer from 0 to n - 1
    {"starts_on", &scenario_script::startsOn}, // starts_on(agent) -> number of starts on the agent
    {"starts_of", &scenario_script::startsOf}, // starts_of(ticket) -> number of starts of its tasks
    {"drained", &scenario_script::drained}, // drained("entry"|"agent", index) -> boolean
    {"disable_guard", &scenario_script::disableGuard}, // disable_guard("revoke"|"incarnation"|"fence"|"leaving")
    {"expect", &scenario_script::expect}, // expect(condition, text)
    {"violations", &scenario_script::violations}, // violations() -> list of descriptions
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

// Calls a function of the table. lua_error leaves by longjmp, which skips destructors, so it is raised after the catch block, when
// no object with a destructor is left.
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
    return m_cluster ? m_cluster->checker().starts() : 0;
}

simulated_cluster &scenario_script::cluster()
{
    if (!m_cluster) {
        throw script_error("start{} must be called first");
    }
    return *m_cluster;
}

std::int64_t scenario_script::toInteger(int stackIndex)
{
    int isNumber = 0;
    const auto value = lua_tointegerx(m_state, stackIndex, &isNumber);
    if (isNumber == 0) {
        throw script_error(absl::StrCat("argument ", stackIndex, " is not an integer"));
    }
    return value;
}

std::string scenario_script::toString(int stackIndex)
{
    if (lua_isstring(m_state, stackIndex) == 0) {
        throw script_error(absl::StrCat("argument ", stackIndex, " is not a string"));
    }
    return lua_tostring(m_state, stackIndex);
}

std::size_t scenario_script::toIndex(int stackIndex, std::size_t bound)
{
    const auto value = toInteger(stackIndex);
    if (value < 0 || static_cast<std::size_t>(value) >= bound) {
        throw script_error(absl::StrCat("index ", value, " is out of range"));
    }
    return static_cast<std::size_t>(value);
}

const ticket &scenario_script::toTicket(int stackIndex)
{
    return m_tickets[toIndex(stackIndex, m_tickets.size())];
}

// The field functions read a field of the table on top of the stack.
std::int64_t scenario_script::field(const char *name, std::int64_t fallback)
{
    lua_getfield(m_state, -1, name);
    const std::int64_t value = lua_isnil(m_state, -1) ? fallback : toInteger(-1);
    lua_pop(m_state, 1);
    return value;
}

double scenario_script::numberField(const char *name, double fallback)
{
    lua_getfield(m_state, -1, name);
    const double value = lua_isnil(m_state, -1) ? fallback : lua_tonumber(m_state, -1);
    lua_pop(m_state, 1);
    return value;
}

std::string scenario_script::stringField(const char *name, const std::string &fallback)
{
    lua_getfield(m_state, -1, name);
    std::string value = lua_isnil(m_state, -1) ? fallback : toString(-1);
    lua_pop(m_state, 1);
    return value;
}

kind_rule scenario_script::readKind()
{
    kind_rule rule;
    rule.weight = numberField("weight", 1);
    rule.floor = numberField("floor", 0);
    rule.timeLimit = std::chrono::milliseconds(field("limit", 10000));
    rule.queueLimit = static_cast<std::uint32_t>(field("queue", 4096));
    return rule;
}

rule_set scenario_script::readRules(int stackIndex)
{
    rule_set result;
    result.offset = m_settings.rules.offset + 1;
    lua_getfield(m_state, stackIndex, "kinds");
    for (lua_pushnil(m_state); lua_istable(m_state, -2) && lua_next(m_state, -2) != 0; lua_pop(m_state, 1)) {
        result.kinds[lua_tostring(m_state, -2)] = readKind();
    }
    lua_settop(m_state, stackIndex);
    lua_getfield(m_state, stackIndex, "teams");
    if (lua_istable(m_state, -1)) {
        for (lua_pushnil(m_state); lua_next(m_state, -2) != 0; lua_pop(m_state, 1)) {
            result.teams[lua_tostring(m_state, -2)] = team_rule{numberField("weight", 1), static_cast<std::uint32_t>(field("quota", 0))};
        }
    }
    lua_settop(m_state, stackIndex);
    if (result.kinds.empty()) {
        result.kinds["check"] = kind_rule{};
    }
    m_settings.rules = result;
    return result;
}

} // namespace teaselward::testing
