#pragma once

#include "config/section/decimal_range.h"

#include <cstdint>

namespace teaselward
{

inline constexpr decimal_range WeightRange = {.min = 0.01, .max = 1000.0}; ///< Zero would starve a kind or a team for good.
inline constexpr decimal_range FloorRange = {.min = 0.0, .max = 1.0}; ///< Part of all slots.
inline constexpr std::int64_t TimeLimitMin = 10; ///< Milliseconds; less than a round trip to an endpoint is a mistake.
/** Milliseconds. A ticket's lifetime of 10 minutes and the longest job together must stay below the 15 minutes that an agent keeps its records. */
inline constexpr std::int64_t TimeLimitMax = 240'000;
inline constexpr std::uint32_t QueueLimitMax = 1'000'000;
inline constexpr std::uint32_t TaskLimitMax = 10'000;
inline constexpr std::uint32_t QuotaMax = 10'000'000;

} // namespace teaselward
