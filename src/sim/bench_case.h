#pragma once

#include "sim/bench_report.h"

#include <cstdint>
#include <string_view>

namespace teaselward
{

/** Entry of the table of the bench's cases. */
struct bench_case {
    std::string_view name;
    void (*run)(bench_report &report, std::uint64_t seed);
};

} // namespace teaselward
