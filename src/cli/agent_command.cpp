#include "cli/agent_command.h"

#include "cli/command_flags.h"
#include "cli/exit_status.h"
#include "cli/print_errors.h"
#include "log/process_log.h"
#include "proc/agent_process.h"
#include "proc/signal_watch.h"
#include "proc/stop_request.h"
#include "settings/load_settings.h"

#include <gflags/gflags.h>

#include <iostream>

DECLARE_string(settings);

namespace teaselward
{

namespace
{

constexpr std::string_view Usage = "usage: teaselward agent --settings=FILE\n\n"
                                   "Runs an agent until SIGTERM, then announces that it leaves and finishes the tasks in progress.\n"
                                   "Exit status: 0 after a graceful shutdown, 2 usage, 3 bad settings.";

} // namespace

int runAgent(int argc, char **argv)
{
    if (const auto done = parseCommandFlags(argc, argv, Usage, {"settings"})) {
        return *done;
    }
    const auto loaded = loadAgentSettings(FLAGS_settings);
    if (!loaded.errors.empty()) {
        printErrors(loaded.errors);
        return exit_status::badSettings;
    }
    stop_request request;
    const signal_watch signals([&request] {
        request.signal();
    });
    process_log log("agent", loaded.settings.logDecisions);
    agent_process process(loaded.settings, log);
    request.connect([&process] {
        process.requestStop();
    });
    std::cout << "agent of " << loaded.settings.endpointAddress << std::endl;
    process.waitForStop();
    request.disconnect();
    return exit_status::success;
}

} // namespace teaselward
