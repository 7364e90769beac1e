#pragma once

#include "cli/exit_status.h"
#include "log/process_log.h"
#include "proc/signal_watch.h"
#include "proc/stop_request.h"

#include <iostream>
#include <string>
#include <system_error>

namespace teaselward
{

/**
 * Runs a process of the system until SIGTERM or SIGINT and its graceful shutdown.
 * @param role name of the process in log lines and errors
 * @param logsDecisions whether log lines are written
 * @param ready line that is printed once the process has started
 * @param make creates the process from its log; it may throw std::system_error
 * @return exit status
 */
template<typename MakeProcess>
int runUntilStopped(const std::string &role, bool logsDecisions, const std::string &ready, MakeProcess make)
{
    stop_request request;
    // The signals must be blocked before any other thread starts.
    const signal_watch signals([&request] {
        request.signal();
    });
    process_log log(role, logsDecisions);
    try {
        const auto process = make(log);
        request.connect([&process] {
            process->requestStop();
        });
        std::cout << ready << std::endl;
        process->waitForStop();
        request.disconnect();
    } catch (const std::system_error &error) {
        std::cerr << role << ": " << error.what() << '\n';
        return exit_status::failure;
    }
    return exit_status::success;
}

} // namespace teaselward
