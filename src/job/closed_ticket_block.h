#pragma once

#include "base/clock.h"

#include <bitset>
#include <cstddef>

namespace teaselward
{

/** Closed tickets within one range of sequence numbers. */
struct closed_ticket_block {
    static constexpr std::size_t Size = 4096; ///< Sequence numbers per block.

    std::bitset<Size> closed;
    mono_time changedAt{}; ///< Time at which a ticket of the block was last closed.
};

} // namespace teaselward
