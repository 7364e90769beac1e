#pragma once

#include <cstdint>
#include <set>
#include <string>

namespace teaselward
{

/** Failure domains that the operators have evacuated: their endpoints must get no starts. */
struct evacuation_state {
    std::uint64_t offset = 0; ///< Offset in the operators' records up to which the state is complete; a higher one is newer.
    std::set<std::string> failureDomains;

    bool operator==(const evacuation_state &) const = default;
};

} // namespace teaselward
