#include "cli/command_flags.h"

#include "cli/exit_status.h"
#include "cli/flag_set.h"

#include <iostream>
#include <span>

namespace teaselward
{

std::optional<int>
parseCommandFlags(int argc, char **argv, std::string_view usage, std::initializer_list<std::string_view> flags, std::vector<std::string> *operands)
{
    flag_set set(std::span(flags.begin(), flags.size()));
    std::string error = set.parse(argc, argv);
    if (set.wantsHelp()) {
        std::cout << usage << "\n\noptions:\n";
        set.describe(std::cout);
        return exit_status::success;
    }
    if (operands != nullptr) {
        *operands = set.arguments();
    } else if (error.empty() && !set.arguments().empty()) {
        error = "unexpected argument '" + set.arguments().front() + "'";
    }
    if (!error.empty()) {
        std::cerr << error << "\n" << usage << '\n';
        return exit_status::usage;
    }
    return std::nullopt;
}

} // namespace teaselward
