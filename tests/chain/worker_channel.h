#pragma once

#include <cstdint>

namespace teaselward
{

/** Simulated connection to a worker. */
struct worker_channel {
    std::uint64_t life = 0; ///< Life of the worker that has accepted it; zero if none has.
    bool isBusy = false;
    bool isConfirmed = false; ///< The adopted life has answered a list call.
};

} // namespace teaselward
