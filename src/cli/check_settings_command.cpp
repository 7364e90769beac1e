#include "cli/check_settings_command.h"

#include "cli/command_flags.h"
#include "cli/exit_status.h"
#include "cli/print_errors.h"
#include "settings/load_settings.h"

#include <iostream>
#include <string>
#include <vector>

namespace teaselward
{

int runCheckSettings(int argc, char **argv)
{
    std::vector<std::string> files;
    const auto done = parseCommandFlags(argc, argv, "usage: teaselward check-settings FILE...\n\nExit status: 0 all valid, 2 usage, 3 errors.", {}, &files);
    if (done) {
        return *done;
    }
    if (files.empty()) {
        std::cerr << "check-settings: no file given\n";
        return exit_status::usage;
    }
    int status = exit_status::success;
    for (const std::string &file : files) {
        const auto errors = checkSettings(file);
        printErrors(errors);
        if (errors.empty()) {
            std::cout << file << ": valid\n";
        } else {
            status = exit_status::badSettings;
        }
    }
    return status;
}

} // namespace teaselward
