#include "cli/bench_command.h"

#include "cli/command_flags.h"
#include "cli/exit_status.h"
#include "sim/bench_cases.h"
#include "sim/bench_report.h"

#include <gflags/gflags.h>

#include <algorithm>
#include <iostream>
#include <string>

DEFINE_uint64(seed, 1, "seed of the workload and of the placement");
DEFINE_string(only, "", "run only this case; the signature then differs");

namespace teaselward
{

namespace
{

constexpr std::string_view Usage
    = "usage: teaselward bench [--seed=N] [--only=CASE]\n\n"
      "Benchmarks the scheduling decisions in virtual time. The cases are placement, floods, failing, overload, entries and cost.\n"
      "Exit status: 0 done, 2 usage.";

} // namespace

// The signature is deterministic: it depends only on the program and the options.
int runBench(int argc, char **argv)
{
    if (const auto done = parseCommandFlags(argc, argv, Usage, {"seed", "only"})) {
        return *done;
    }
    const auto cases = benchCases();
    const bool isKnown = std::any_of(cases.begin(), cases.end(), [](const bench_case &item) {
        return FLAGS_only.empty() || FLAGS_only == item.name;
    });
    if (!isKnown) {
        std::cerr << "bench: no such case: " << FLAGS_only << '\n';
        return exit_status::usage;
    }
    bench_report report(std::cout, std::cerr);
    for (const bench_case &item : cases) {
        if (FLAGS_only.empty() || FLAGS_only == item.name) {
            item.run(report, FLAGS_seed);
        }
    }
    report.writeLine("Bench: " + std::to_string(report.signature()));
    return exit_status::success;
}

} // namespace teaselward
