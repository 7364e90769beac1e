#pragma once

#include <initializer_list>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace teaselward
{

/**
 * Parses the flags of a subcommand and handles --help, which lists only the flags of that subcommand.
 * @param argc number of arguments
 * @param argv arguments; the first is the name of the subcommand
 * @param usage text that the help starts with
 * @param flags names of the flags of the subcommand
 * @param operands receives the arguments that are not flags; null if the subcommand takes none
 * @return exit status if the subcommand must not run, because of --help or an error; otherwise nothing
 */
std::optional<int>
parseCommandFlags(int argc, char **argv, std::string_view usage, std::initializer_list<std::string_view> flags, std::vector<std::string> *operands = nullptr);

} // namespace teaselward
