#pragma once

#include <chrono>

namespace teaselward
{

/** Faults of the stand-in for the platform log. */
struct log_faults {
    bool isDown = false; ///< Refuses every request.
    std::chrono::milliseconds delay{0}; ///< Added to every request.
    int lostResponses = 0; ///< Number of appends that take effect but are not answered.
    int droppedAppends = 0; ///< Number of appends that neither take effect nor are answered.
    int duplicates = 0; ///< Number of appends that take effect twice.
};

} // namespace teaselward
