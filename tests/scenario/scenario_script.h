#pragma once

#include "scenario/simulated_cluster.h"

#include <lua.hpp>

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace teaselward::testing
{

/** Runs a Lua scenario script against a simulated cluster. The functions that scripts can call are listed in the table Functions. */
class scenario_script
{
public:
    /** @param seed seed of the random numbers of the cluster; scripts read it as the global `seed` */
    explicit scenario_script(std::uint64_t seed);
    ~scenario_script();

    scenario_script(const scenario_script &) = delete;
    scenario_script &operator=(const scenario_script &) = delete;

    /**
     * Runs a script.
     * @param path path of the script file
     * @throws script_error if an expectation fails or the script has an error
     */
    void run(const std::string &path);

    /** @return number of starts, over all tasks of the scenario */
    std::size_t starts() const;

private:
    struct script_function {
        const char *name;
        int (scenario_script::*call)();
    };

    static const std::vector<script_function> Functions;
    static int invoke(lua_State *state);

    // Functions that scripts call. Each reads its arguments from the Lua stack and returns how many results it pushed.
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
    int setEndpoint();
    int setRules();
    int random();
    int startsOn();
    int startsOf();
    int drained();
    int disableGuard();
    int expect();
    int violations();

    simulated_cluster &cluster();
    std::size_t toIndex(int stackIndex, std::size_t bound);
    const ticket &toTicket(int stackIndex);
    std::int64_t toInteger(int stackIndex);
    std::string toString(int stackIndex);
    std::int64_t field(const char *name, std::int64_t fallback);
    double numberField(const char *name, double fallback);
    std::string stringField(const char *name, const std::string &fallback);
    rule_set readRules(int stackIndex);
    kind_rule readKind();

    std::uint64_t m_seed;
    lua_State *m_state;
    std::unique_ptr<simulated_cluster> m_cluster;
    simulated_cluster_settings m_settings;
    std::vector<ticket> m_tickets;
};

} // namespace teaselward::testing
