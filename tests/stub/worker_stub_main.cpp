#include "stub/stop_signals.h"
#include "support/worker_stub.h"

#include <gflags/gflags.h>

#include <exception>
#include <iostream>

DEFINE_string(listen, "", "address as IP:PORT");
DEFINE_string(agent, "", "address of the agent to which heartbeats are sent, as IP:PORT");
DEFINE_uint32(cpu_millis, 8000, "CPU capacity of the worker in thousandths of a core");

// Runs the worker stub as a separate process until SIGTERM or SIGINT. Exits with status 1 if a start violated the platform's rules.
int main(int argc, char **argv)
{
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    const teaselward::stop_signals signals;
    try {
        const teaselward::worker_stub worker(FLAGS_listen, FLAGS_agent, FLAGS_cpu_millis);
        std::cout << "listening " << FLAGS_listen << std::endl;
        signals.wait();
        const bool hasViolations = !worker.violations().empty();
        for (const std::string &violation : worker.violations()) {
            std::cerr << "worker_stub: " << violation << '\n';
        }
        return hasViolations ? 1 : 0;
    } catch (const std::exception &error) {
        std::cerr << "worker_stub: " << error.what() << '\n';
        return 1;
    }
}
