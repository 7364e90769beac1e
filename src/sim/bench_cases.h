#pragma once

#include "sim/bench_case.h"

#include <span>

namespace teaselward
{

/** @return all benchmark cases, in the order in which they run and print */
std::span<const bench_case> benchCases();

} // namespace teaselward
