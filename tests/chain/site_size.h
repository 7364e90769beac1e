#pragma once

#include <cstddef>

namespace teaselward
{

/** Size of the site of a chain_simulation. */
struct site_size {
    std::size_t entries = 3;
    std::size_t agents = 4;
    std::size_t sessions = 3; ///< Entries with which an agent has sessions; it registers at another one when one is gone.
};

/** Site of the incident: more entries than an agent has sessions. */
constexpr site_size LargeSite{.entries = 9, .agents = 54, .sessions = 8};

} // namespace teaselward
