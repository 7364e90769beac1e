#include "stub/stop_signals.h"
#include "support/log_server.h"

#include <gflags/gflags.h>

#include <cstdint>
#include <exception>
#include <iostream>

DEFINE_string(listen, "127.0.0.1:0", "address as IP:PORT; port 0 selects a free port");
DEFINE_uint64(retention, 0, "retention time of records in seconds; 0 keeps them until the process ends");

// Runs the platform log stub as a separate process until SIGTERM or SIGINT.
int main(int argc, char **argv)
{
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    const teaselward::stop_signals signals;
    try {
        teaselward::memory_platform_log_settings settings;
        if (FLAGS_retention != 0) {
            settings.retention = std::chrono::seconds(FLAGS_retention);
        }
        const teaselward::log_server server(FLAGS_listen, settings);
        std::cout << "listening " << server.address() << std::endl;
        signals.wait();
    } catch (const std::exception &error) {
        std::cerr << "platform_log_stub: " << error.what() << '\n';
        return 1;
    }
    return 0;
}
