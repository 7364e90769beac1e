#pragma once

#include <string_view>

namespace teaselward
{

/** Entry of the table of subcommands. */
struct subcommand {
    std::string_view name;
    std::string_view summary; ///< One line for the help text.
    int (*run)(int argc, char **argv); ///< Gets the arguments from the subcommand's name on; returns the exit status.
};

} // namespace teaselward
