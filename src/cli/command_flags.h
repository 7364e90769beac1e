#pragma once

#include <initializer_list>
#include <optional>
#include <string_view>

namespace teaselward
{

/**
 * Parses the flags of a subcommand and handles --help, which lists only the flags of that subcommand.
 * @param argc number of arguments; reduced to those that are no flags
 * @param argv arguments; the flags are taken out
 * @param usage text that the help starts with
 * @param flags names of the flags of the subcommand
 * @return exit status if the subcommand is done already, otherwise nothing
 */
std::optional<int> parseCommandFlags(int &argc, char **&argv, std::string_view usage, std::initializer_list<std::string_view> flags);

} // namespace teaselward
