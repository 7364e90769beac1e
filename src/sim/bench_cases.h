#pragma once

#include "sim/bench_case.h"

#include <span>

namespace teaselward
{

/** @return the table of all cases in the order of their output */
std::span<const bench_case> benchCases();

} // namespace teaselward
