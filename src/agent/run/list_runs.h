#pragma once

#include <chrono>
#include <cstdint>
#include <optional>

namespace teaselward
{

/** Call that renews the lease of all runs at an endpoint and asks for its lists. */
struct list_runs {
    std::uint64_t number = 0; ///< Counts the calls.
    std::optional<std::chrono::milliseconds> leaseEnd; ///< On the clock of the endpoint; without it the lease stays as it is.
    std::uint64_t fencingToken = 0;
    std::uint64_t acknowledged = 0; ///< Ends up to this number may be forgotten.
    std::chrono::milliseconds wait{}; ///< Longest time to wait for an end.
};

} // namespace teaselward
