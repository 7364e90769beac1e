#include "cli/check_settings_command.h"

#include "cli/command_flags.h"
#include "cli/exit_status.h"
#include "cli/print_errors.h"
#include "settings/load_settings.h"

#include <iostream>

namespace teaselward
{

int runCheckSettings(int argc, char **argv)
{
    const auto done = parseCommandFlags(argc, argv, "usage: teaselward check-settings FILE...\n\nExit status: 0 all valid, 2 usage, 3 errors.", {});
    if (done) {
        return *done;
    }
    if (argc < 2) {
        std::cerr << "check-settings: no file given\n";
        return exit_status::usage;
    }
    int status = exit_status::success;
    for (int i = 1; i < argc; ++i) {
        const auto errors = checkSettings(argv[i]);
        printErrors(errors);
        if (errors.empty()) {
            std::cout << argv[i] << ": valid\n";
        } else {
            status = exit_status::badSettings;
        }
    }
    return status;
}

} // namespace teaselward
