#pragma once

#include "sim/bench_report.h"

#include <cstdint>
#include <string_view>

namespace teaselward
{

/** Benchmark case: the name given to --only and the function that runs it. */
struct bench_case {
    std::string_view name;
    void (*run)(bench_report &report, std::uint64_t seed);
};

} // namespace teaselward
