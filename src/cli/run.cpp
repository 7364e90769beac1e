#include "cli/run.h"

#include "cli/subcommand.h"
#include "cli/subcommands.h"

#include <algorithm>
#include <iostream>
#include <string_view>

namespace teaselward
{

namespace
{

constexpr int UsageError = 2;

// The help text is made from the table of subcommands, so that it lists all of them.
void printHelp(std::ostream &out)
{
    out << "usage: teaselward SUBCOMMAND [OPTIONS]\n\nsubcommands:\n";
    for (const subcommand &command : subcommands()) {
        out << "  " << command.name << std::string(16 - command.name.size(), ' ') << command.summary << '\n';
    }
    out << "\n'teaselward SUBCOMMAND --help' lists the options of one subcommand.\n";
}

} // namespace

// --help and --version without a subcommand are options of the program itself.
int runCommandLine(int argc, char **argv)
{
    const std::string_view name = argc > 1 ? argv[1] : "";
    if (name == "--help") {
        printHelp(std::cout);
        return 0;
    }
    if (name == "--version") {
        std::cout << "teaselward 0.1.0\n";
        return 0;
    }
    const auto &table = subcommands();
    const auto found = std::find_if(table.begin(), table.end(), [name](const subcommand &command) {
        return command.name == name;
    });
    if (found == table.end()) {
        printHelp(std::cerr);
        return UsageError;
    }
    return found->run(argc - 1, argv + 1);
}

} // namespace teaselward
