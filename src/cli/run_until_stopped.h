#pragma once

#include "cli/exit_status.h"
#include "log/stderr_logger.h"
#include "proc/signal_relay.h"
#include "proc/signal_watch.h"

#include <functional>
#include <iostream>
#include <string>
#include <system_error>

namespace teaselward
{

/**
 * Runs an entry, an agent or a local system until SIGTERM or SIGINT, and then until its graceful shutdown has ended.
 * @param role name of the process in log lines and errors
 * @param logsDecisions whether log lines are written
 * @param ready line that is printed once the process has started
 * @param reload called on SIGHUP; returns a sentence for the log
 * @param make creates the process, which writes to the given log; it may throw std::system_error
 * @return exit status
 */
template<typename MakeProcess>
int runUntilStopped(const std::string &role, bool logsDecisions, const std::string &ready, const std::function<std::string()> &reload, MakeProcess make)
{
    signal_relay request;
    signal_relay reloads;
    // The signals must be blocked before any other thread starts, because threads inherit the signal mask.
    const signal_watch signals(
        [&request] {
            request.signal();
        },
        [&reloads] {
            reloads.signal();
        });
    stderr_logger log(role, logsDecisions);
    reloads.connect([&log, &reload] {
        log.write(log_part::process, "Reload. " + reload());
    });
    try {
        const auto process = make(log);
        request.connect([&process, &log] {
            log.write(log_part::process, "Stopping after a signal.");
            process->requestStop();
        });
        std::cout << ready << std::endl;
        log.write(log_part::process, "Started. " + ready);
        process->waitForStop();
        request.disconnect();
        reloads.disconnect();
        log.write(log_part::process, "Stopped.");
    } catch (const std::system_error &error) {
        std::cerr << role << ": " << error.what() << '\n';
        return exit_status::failure;
    }
    return exit_status::success;
}

} // namespace teaselward
