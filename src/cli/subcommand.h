#pragma once

#include <string_view>

namespace teaselward
{

/** A row of the table of subcommands. */
struct subcommand {
    std::string_view name;
    std::string_view summary; ///< One line for the help text.
    int (*run)(int argc, char **argv); ///< Gets the arguments, of which the first is the subcommand's name; returns the exit status.
};

} // namespace teaselward
