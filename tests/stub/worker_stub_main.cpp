#include "stub/stop_signals.h"
#include "support/worker_stub.h"

#include <gflags/gflags.h>

#include <exception>
#include <iostream>

DEFINE_string(listen, "", "address as IP:PORT");
DEFINE_string(agent, "", "address of the agent for heartbeats as IP:PORT");
DEFINE_uint32(cpu_millis, 8000, "processors of the worker in thousandths of a core");

// Stand-in for a worker of the users' platform as a process of its own. It ends on SIGTERM or SIGINT.
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
