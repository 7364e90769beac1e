#include "stub/endpoint_stub.h"
#include "stub/stop_signals.h"

#include <gflags/gflags.h>

#include <exception>
#include <iostream>

DEFINE_string(listen, "127.0.0.1:0", "address as IP:PORT; port 0 selects a free port");
DEFINE_int32(delay_ms, 0, "run time of each task in milliseconds");
DEFINE_bool(delay_from_payload, false, "take the run time in milliseconds from the payload, a decimal number");
DEFINE_bool(fail, false, "fail each task with status 500");
DEFINE_bool(decline, false, "decline each task with status 503 and Teaselward-Not-Run");
DEFINE_bool(hang_up, false, "close each connection instead of sending a response");

// Runs the endpoint stub as a separate process until SIGTERM or SIGINT.
int main(int argc, char **argv)
{
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    const teaselward::stop_signals signals;
    try {
        const teaselward::endpoint_stub stub(
            {FLAGS_listen, std::chrono::milliseconds(FLAGS_delay_ms), FLAGS_delay_from_payload, FLAGS_fail, FLAGS_decline, FLAGS_hang_up});
        std::cout << "listening " << stub.address() << std::endl;
        signals.wait();
    } catch (const std::exception &error) {
        std::cerr << error.what() << '\n';
        return 1;
    }
    return 0;
}
