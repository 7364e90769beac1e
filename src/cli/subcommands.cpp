#include "cli/subcommands.h"

#include "cli/agent_command.h"
#include "cli/bench_command.h"
#include "cli/check_settings_command.h"
#include "cli/config_command.h"
#include "cli/entry_command.h"
#include "cli/load_command.h"
#include "cli/local_command.h"
#include "cli/submit_command.h"

#include <array>

namespace teaselward
{

namespace
{

constexpr std::array Table = {
    subcommand{"entry", "accept jobs from callers and dispatch their tasks", &runEntry},
    subcommand{"agent", "run tasks on the local endpoint", &runAgent},
    subcommand{"local", "run all components as threads of one process", &runLocal},
    subcommand{"check-settings", "check settings files of entries and agents", &runCheckSettings},
    subcommand{"bench", "benchmark the scheduling decisions in virtual time and print a signature", &runBench},
    subcommand{"config", "publish, list and check configuration files", &runConfig},
    subcommand{"load", "send jobs at a fixed rate and print response times", &runLoad},
    subcommand{"submit", "submit one job and print its results", &runSubmit},
};

} // namespace

std::span<const subcommand> subcommands()
{
    return Table;
}

} // namespace teaselward
