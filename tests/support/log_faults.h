#pragma once

#include <chrono>

namespace teaselward
{

/** Faults that faulty_log and log_server inject. */
struct log_faults {
    bool isDown = false; ///< Every request fails as unavailable.
    std::chrono::milliseconds delay{0}; ///< Added before each request is handled.
    int lostResponses = 0; ///< Number of next appends that are stored but get no response.
    int droppedAppends = 0; ///< Number of next appends that are neither stored nor answered.
    int duplicates = 0; ///< Number of next appends that are stored twice.
};

} // namespace teaselward
