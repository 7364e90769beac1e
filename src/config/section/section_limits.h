#pragma once

#include "config/section/decimal_range.h"

#include <cstdint>

namespace teaselward
{

inline constexpr decimal_range WeightRange = {.min = 0.01, .max = 1000.0}; ///< A weight of zero would starve a kind or a team.
inline constexpr decimal_range FloorRange = {.min = 0.0, .max = 1.0}; ///< Fraction of all slots.
inline constexpr std::int64_t TimeLimitMin = 10; ///< Milliseconds. A shorter time than a round trip to an endpoint is a mistake.
/** Milliseconds. The lifetime of a ticket (10 minutes) plus the longest job must stay below the retention of records at agents (15 minutes). */
inline constexpr std::int64_t TimeLimitMax = 240'000;
inline constexpr std::uint32_t QueueLimitMax = 1'000'000;
inline constexpr std::uint32_t TaskLimitMax = 10'000;
inline constexpr std::uint32_t QuotaMax = 10'000'000;

} // namespace teaselward
