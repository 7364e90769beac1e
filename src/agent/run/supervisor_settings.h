#pragma once

#include <chrono>
#include <cstdint>

namespace teaselward
{

/** Bounds of the supervision of one endpoint. */
struct supervisor_settings {
    std::uint64_t fencingToken = 0; ///< First token to try; raised until the endpoint takes it.
    std::chrono::milliseconds born{}; ///< Life of the endpoint that is supervised; zero if it does not tell.
    /**
     * Lease given with each call. Together with the lease of a session (600 ms) and a clock that is 2 % slow it must end before
     * a caller sends a job again, 1300 ms after a broken answer.
     */
    std::chrono::milliseconds lease{650};
    std::chrono::milliseconds renewal{200}; ///< Longest wait of a list call, and so the distance of two renewals.
    std::chrono::milliseconds busyListWait{50}; ///< The same while there are runs, whose ends a lost answer hides for as long.
    std::chrono::milliseconds listRetry{20}; ///< Delay before a list without an answer is asked for again.
    std::chrono::milliseconds contactTimeout{400}; ///< Without an answer for this time the lease is no longer extended.
    std::chrono::milliseconds stopRetry{100}; ///< Delay before a stop without an answer is sent again.
    std::chrono::milliseconds stallLimit{450}; ///< A run without progress for this time is stopped, if no run time is declared.
    std::chrono::milliseconds minStallLimit{150}; ///< Limit of runs with a short declared time; three lists without progress.
    /**
     * Part of the declared run time after which a run without progress is stopped. Progress is told in whole percent, which a
     * run shows after a fifteenth of this if it takes as long as declared, and after a half at a slow endpoint.
     */
    double stallFraction = 0.15;
};

} // namespace teaselward
