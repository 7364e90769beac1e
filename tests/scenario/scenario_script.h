#pragma once

#include "scenario/world.h"

#include <lua.hpp>

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace teaselward::testing
{

/** Runs one scenario script in Lua against a world. The functions that scripts can call stand in the table in the source file. */
class scenario_script
{
public:
    /** @param seed seed of the world; a script sees it as `seed` */
    explicit scenario_script(std::uint64_t seed);
    ~scenario_script();

    scenario_script(const scenario_script &) = delete;
    scenario_script &operator=(const scenario_script &) = delete;

    /**
     * Runs a script.
     * @param path path of the script
     * @throws script_error if an expectation fails, an invariant is violated or the script is wrong
     */
    void run(const std::string &path);

    /** @return number of starts of all tasks in the world */
    std::size_t starts() const;

private:
    struct function_row {
        const char *name;
        int (scenario_script::*call)();
    };

    static const std::vector<function_row> Functions;
    static int invoke(lua_State *state);

    // Functions of scripts; each reads its arguments from the stack and returns the number of its results.
    int start();
    int tickets();
    int submit();
    int query();
    int cancel();
    int answer();
    int advance();
    int fault();
    int cut();
    int heal();
    int cutEntries();
    int healEntries();
    int endpoint();
    int rules();
    int random();
    int startsAt();
    int startsOf();
    int drained();
    int guardOff();
    int expect();
    int violations();

    world &current();
    std::size_t position(int index, std::size_t bound);
    const ticket &ticketAt(int index);
    std::int64_t integer(int index);
    std::string text(int index);
    std::int64_t field(const char *name, std::int64_t fallback);
    double decimalField(const char *name, double fallback);
    std::string textField(const char *name, const std::string &fallback);
    rule_set readRules(int index);
    kind_rule readKind();

    std::uint64_t m_seed;
    lua_State *m_state;
    std::unique_ptr<world> m_world;
    world_settings m_settings;
    std::vector<ticket> m_tickets;
};

} // namespace teaselward::testing
