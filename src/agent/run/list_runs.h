#pragma once

#include <chrono>
#include <cstdint>
#include <optional>

namespace teaselward
{

/** Call that renews the lease of all runs at an endpoint and requests its running and ended runs. */
struct list_runs {
    std::uint64_t number = 0; ///< Sequence number of the call.
    std::optional<std::chrono::milliseconds> leaseEnd; ///< On the endpoint's clock; if empty, the lease is not renewed.
    std::uint64_t fencingToken = 0;
    std::uint64_t acknowledged = 0; ///< The endpoint may discard ends up to this number.
    std::chrono::milliseconds wait{}; ///< Maximum time to wait for an end before answering.
};

} // namespace teaselward
