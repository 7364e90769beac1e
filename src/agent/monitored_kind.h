#pragma once

#include "agent/presence_history.h"
#include "base/clock.h"

#include <array>
#include <cstdint>
#include <string>

namespace teaselward
{

/** Kind that interference_monitor watches. */
struct monitored_kind {
    std::string name;
    std::uint32_t running = 0; ///< Tasks that run now.
    std::uint32_t slowedBy = 0; ///< Kinds in force as slowing this one; one bit for each kind index.
    mono_time lastStart{};
    presence_history presence{};
    double meanLogRatio = 0; ///< Moving average of the logarithm of run time over expected run time.
    std::array<std::uint64_t, 8> recentJobs{}; ///< Jobs of the last runs that were compared; a ring.
    std::uint32_t nextJob = 0; ///< Position in the ring.
};

} // namespace teaselward
