#include "cli/subcommands.h"

#include "cli/bench_command.h"
#include "cli/load_command.h"
#include "cli/submit_command.h"

#include <array>

namespace teaselward
{

namespace
{

constexpr std::array Table = {
    subcommand{"bench", "measure the decisions in virtual time and print a signature", &runBench},
    subcommand{"load", "send jobs at a fixed rate and print response times", &runLoad},
    subcommand{"submit", "submit one job and print its results", &runSubmit},
};

} // namespace

std::span<const subcommand> subcommands()
{
    return Table;
}

} // namespace teaselward
