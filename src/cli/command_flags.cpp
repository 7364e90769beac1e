#include "cli/command_flags.h"

#include <gflags/gflags.h>

#include <algorithm>
#include <iostream>
#include <string>

namespace teaselward
{

namespace
{

void printFlags(std::string_view usage, std::initializer_list<std::string_view> flags)
{
    std::cout << usage << "\n\noptions:\n";
    for (const std::string_view name : flags) {
        const auto flag = gflags::GetCommandLineFlagInfoOrDie(std::string(name).c_str());
        std::cout << "  --" << flag.name << "  " << flag.description << " (" << flag.type << ", default \"" << flag.default_value << "\")\n";
    }
}

bool asksForHelp(int argc, char **argv)
{
    return std::any_of(argv, argv + argc, [](const char *argument) {
        return std::string_view(argument) == "--help";
    });
}

} // namespace

std::optional<int> parseCommandFlags(int &argc, char **&argv, std::string_view usage, std::initializer_list<std::string_view> flags)
{
    if (asksForHelp(argc, argv)) {
        printFlags(usage, flags);
        return 0;
    }
    gflags::SetUsageMessage(std::string(usage));
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    return std::nullopt;
}

} // namespace teaselward
