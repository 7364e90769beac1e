#include "cli/entry_command.h"

#include "cli/command_flags.h"
#include "cli/exit_status.h"
#include "cli/print_errors.h"
#include "log/process_log.h"
#include "platform/http_log.h"
#include "proc/entry_process.h"
#include "proc/signal_watch.h"
#include "proc/stop_request.h"
#include "settings/load_settings.h"

#include <gflags/gflags.h>

#include <iostream>

DEFINE_string(settings, "", "INI file with the settings of the process");

namespace teaselward
{

namespace
{

constexpr std::string_view Usage = "usage: teaselward entry --settings=FILE\n\n"
                                   "Runs an entry until SIGTERM, then drains.\n"
                                   "Exit status: 0 after a graceful shutdown, 1 a listener cannot be opened, 2 usage, 3 bad settings.";

} // namespace

int runEntry(int argc, char **argv)
{
    if (const auto done = parseCommandFlags(argc, argv, Usage, {"settings"})) {
        return *done;
    }
    const auto loaded = loadEntrySettings(FLAGS_settings);
    if (!loaded.errors.empty()) {
        printErrors(loaded.errors);
        return exit_status::badSettings;
    }
    stop_request request;
    const signal_watch signals([&request] {
        request.signal();
    });
    process_log log("entry", loaded.settings.logDecisions);
    http_log platform({.url = loaded.settings.logUrl});
    try {
        entry_process process(loaded.settings, platform, log);
        request.connect([&process] {
            process.requestStop();
        });
        std::cout << "entry listening " << loaded.settings.callersListen << std::endl;
        process.waitForStop();
        request.disconnect();
    } catch (const std::system_error &error) {
        std::cerr << "entry: " << error.what() << '\n';
        return exit_status::failure;
    }
    return exit_status::success;
}

} // namespace teaselward
