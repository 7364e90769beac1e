#pragma once

#include <cstdint>
#include <string>
#include <utility>

namespace teaselward
{

/** Names one run at an endpoint. Job and index name the task; a later run of the same task has a higher attempt. */
struct run_id {
    std::string job; ///< Identifier that the caller chose.
    std::uint32_t index = 0; ///< Position of the task in its job.
    std::uint32_t attempt = 1;

    friend bool operator==(const run_id &, const run_id &) = default;

    template<typename H>
    friend H AbslHashValue(H state, const run_id &value)
    {
        return H::combine(std::move(state), value.job, value.index, value.attempt);
    }
};

} // namespace teaselward
