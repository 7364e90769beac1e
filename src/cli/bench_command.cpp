#include "cli/bench_command.h"

#include "sim/bench_cases.h"
#include "sim/bench_report.h"

#include <gflags/gflags.h>

#include <iostream>
#include <string>

DEFINE_uint64(seed, 1, "seed of the workload and of the placement");
DEFINE_string(only, "", "name of the only case to run; the signature then differs");

namespace teaselward
{

// The signature is the same in every run of the same program with the same options.
int runBench(int argc, char **argv)
{
    gflags::SetUsageMessage("bench [--seed=N] [--only=CASE]");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    bench_report report(std::cout, std::cerr);
    for (const bench_case &item : benchCases()) {
        if (FLAGS_only.empty() || FLAGS_only == item.name) {
            item.run(report, FLAGS_seed);
        }
    }
    report.line("Bench: " + std::to_string(report.signature()));
    return 0;
}

} // namespace teaselward
