#pragma once

#include <cstddef>
#include <cstdint>

namespace teaselward
{

/** How far an entry separates kinds that slow each other down. */
struct separation_status {
    std::size_t pairs = 0; ///< Pairs of kinds in force.
    std::uint64_t separated = 0; ///< Tasks that were placed in the group of their kind.
    std::uint64_t mixed = 0; ///< Tasks that were placed elsewhere because their group had no credit.
};

} // namespace teaselward
