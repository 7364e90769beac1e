#pragma once

#include "base/clock.h"

#include <chrono>
#include <cstdint>

namespace teaselward
{

/** Quarantine of one kind, current or past. */
struct quarantine_record {
    bool isQuarantined = false;
    mono_time lastCrash{}; ///< Last crash that counted against the kind while it was quarantined.
    mono_time releasedAt{};
    std::uint32_t successes = 0; ///< Since the last crash.
    std::uint32_t required = 0; ///< Successes after which the kind is released.
    std::chrono::milliseconds quietTime{}; ///< Time without a crash after which the kind is released in any case.
};

} // namespace teaselward
