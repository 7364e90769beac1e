#include "cli/subcommands.h"

#include "cli/bench_command.h"
#include "cli/config_command.h"

#include <array>

namespace teaselward
{

namespace
{

constexpr std::array Table = {
    subcommand{"bench", "measure the decisions in virtual time and print a signature", &runBench},
    subcommand{"config", "publish, list and check configuration files", &runConfig},
};

} // namespace

std::span<const subcommand> subcommands()
{
    return Table;
}

} // namespace teaselward
