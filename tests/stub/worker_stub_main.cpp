#include "support/worker_stub.h"

#include <gflags/gflags.h>

#include <csignal>
#include <exception>
#include <iostream>

DEFINE_string(listen, "", "address as IP:PORT");
DEFINE_string(agent, "", "address of the agent for heartbeats as IP:PORT");
DEFINE_uint32(cpu_millis, 8000, "processors of the worker in thousandths of a core");

// Stand-in for a worker of the users' platform as a process of its own. It ends on SIGTERM or SIGINT.
int main(int argc, char **argv)
{
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    // Blocked before the threads start, so that only sigwait() takes the signals.
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    try {
        const teaselward::worker_stub worker(FLAGS_listen, FLAGS_agent, FLAGS_cpu_millis);
        std::cout << "listening " << FLAGS_listen << std::endl;
        int signal = 0;
        sigwait(&signals, &signal);
        const bool broke = !worker.violations().empty();
        for (const std::string &violation : worker.violations()) {
            std::cerr << "worker_stub: " << violation << '\n';
        }
        return broke ? 1 : 0;
    } catch (const std::exception &error) {
        std::cerr << "worker_stub: " << error.what() << '\n';
        return 1;
    }
}
