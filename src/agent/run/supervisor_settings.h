#pragma once

#include <chrono>
#include <cstdint>

namespace teaselward
{

/** Settings of run_supervisor. */
struct supervisor_settings {
    std::uint64_t fencingToken = 0; ///< First token to try; raised until the endpoint accepts it.
    std::chrono::milliseconds endpointStart{}; ///< Start time of the supervised instance; zero if it is not announced.
    /**
     * Lease sent with each call. Together with the lease of a session (600 ms) and a clock that is 2 % slow, it must end before
     * a caller resubmits a job, 1300 ms after a broken answer.
     */
    std::chrono::milliseconds lease{650};
    /**
     * A run is stopped once its home entry was last known this long ago not to have given up its session. The home starts the task
     * elsewhere no earlier than this, stopBound and the lease after it gave up the session.
     */
    std::chrono::milliseconds homeLease{600};
    std::chrono::milliseconds renewal{200}; ///< Maximum wait of a list call, and so the interval of lease renewals.
    std::chrono::milliseconds busyListWait{50}; ///< Maximum wait of a list call while there are runs; a lost answer hides their ends for this long.
    std::chrono::milliseconds listRetry{20}; ///< Delay before a list call without an answer is repeated.
    std::chrono::milliseconds contactTimeout{400}; ///< Without an answer for this time the lease is no longer renewed.
    /**
     * Interval at which a stop is repeated until it is confirmed, without waiting for the time limit of the earlier call. A worker
     * responds within a millisecond, or within about 20 ms while its machine is slowed.
     */
    std::chrono::milliseconds stopRepeat{40};
    /**
     * While a run is not over this long after its stop was requested, no lease is renewed or extended, so that the run ends with
     * its lease at the latest. All runs at the endpoint share the lease; two repetitions fit into this time.
     */
    std::chrono::milliseconds stopBound{90};
    std::chrono::milliseconds stallLimit{450}; ///< A run without progress for this time is stopped, if no run time is declared.
    std::chrono::milliseconds minStallLimit{150}; ///< Lower bound of the limit derived from a declared run time; allows three lists without progress.
    /**
     * A run without progress for this fraction of its declared run time is stopped. Progress is reported in whole percent: one
     * percent takes a fifteenth of this limit if the run takes as long as declared, and half of it at a slow endpoint.
     */
    double stallFraction = 0.15;
};

} // namespace teaselward
