#pragma once

#include "core/refusal_decision.h"

#include <array>
#include <cstddef>
#include <cstdint>

namespace teaselward
{

/** Number of jobs that an entry has refused since its start, by decision. */
struct refusal_counts {
    std::array<std::uint64_t, RefusalDecisionNames.size()> jobs{}; ///< Indexed by the value of the enumerator.

    /** Counts a job. */
    void add(refusal_decision decision)
    {
        ++jobs.at(static_cast<std::size_t>(decision));
    }
};

} // namespace teaselward
