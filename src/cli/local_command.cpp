#include "cli/local_command.h"

#include "cli/command_flags.h"
#include "cli/exit_status.h"
#include "log/process_log.h"
#include "proc/local_system.h"
#include "proc/signal_watch.h"
#include "proc/stop_request.h"

#include <gflags/gflags.h>

#include <iostream>
#include <system_error>

DEFINE_string(local_listen, "127.0.0.1:8080", "address for callers as IP:PORT");
DEFINE_bool(decisions, false, "write a log line for each decision");

namespace teaselward
{

namespace
{

constexpr std::string_view Usage = "usage: teaselward local [--local_listen=IP:PORT] [--decisions]\n\n"
                                   "Runs an entry, an agent, a platform log in memory and an endpoint as threads of one process. The only kind\n"
                                   "is 'echo', which answers each task with its payload in upper case.\n"
                                   "Exit status: 0 after a graceful shutdown, 1 a listener cannot be opened, 2 usage.";

} // namespace

int runLocal(int argc, char **argv)
{
    if (const auto done = parseCommandFlags(argc, argv, Usage, {"local_listen", "decisions"})) {
        return *done;
    }
    stop_request request;
    const signal_watch signals([&request] {
        request.signal();
    });
    process_log log("local", FLAGS_decisions);
    try {
        local_system system(FLAGS_local_listen, log);
        request.connect([&system] {
            system.requestStop();
        });
        std::cout << "local listening " << FLAGS_local_listen << std::endl;
        system.waitForStop();
        request.disconnect();
    } catch (const std::system_error &error) {
        std::cerr << "local: " << error.what() << '\n';
        return exit_status::failure;
    }
    return exit_status::success;
}

} // namespace teaselward
