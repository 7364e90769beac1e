#include "cli/local_command.h"

#include "cli/command_flags.h"
#include "cli/run_until_stopped.h"
#include "proc/local_system.h"

#include <gflags/gflags.h>

#include <memory>

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
    return runUntilStopped(
        "local",
        FLAGS_decisions,
        "local listening " + FLAGS_local_listen,
        [] {
            return std::string("There is no settings file.");
        },
        [](logger &log) {
            return std::make_unique<local_system>(FLAGS_local_listen, log);
        });
}

} // namespace teaselward
