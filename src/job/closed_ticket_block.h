#pragma once

#include "base/clock.h"

#include <bitset>
#include <cstddef>

namespace teaselward
{

/** Closed tickets of one range of sequence numbers. */
struct closed_ticket_block {
    static constexpr std::size_t Size = 4096; ///< Sequence numbers of one range.

    std::bitset<Size> closed;
    mono_time changedAt{}; ///< Last time at which a ticket was closed.
};

} // namespace teaselward
