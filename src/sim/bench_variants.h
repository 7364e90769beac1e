#pragma once

#include <array>
#include <string_view>

namespace teaselward
{

/** Combination of a placement strategy at the entries and a credit policy at the agents. */
struct bench_variant {
    std::string_view name;
    std::string_view strategy;
    std::string_view creditPolicy;
};

/** Variants compared by the benchmark; the first one is the default. */
inline constexpr std::array BenchVariants = {
    bench_variant{"credits", "credits", "shared"},
    bench_variant{"credits, equal parts", "credits", "equal"},
    bench_variant{"least_outstanding", "least_outstanding", "shared"},
    bench_variant{"two_choices", "two_choices", "shared"},
    bench_variant{"random", "random", "shared"},
};

} // namespace teaselward
