#pragma once

#include "agent/run/supervisor_settings.h"

#include <chrono>
#include <cstddef>
#include <string>

namespace teaselward
{

/** Settings of the client of one life of a worker. */
struct worker_client_settings {
    std::string address; ///< As IP:PORT.
    std::string id; ///< The worker refuses calls that are meant for another id.
    supervisor_settings supervisor;
    /**
     * The worker runs on the same machine and answers within a millisecond, or some 20 ms while the machine is slowed. What a
     * call does may be unknown until this limit, and an end that is not listed is unknown as long.
     */
    std::chrono::milliseconds callLimit{80};
    std::size_t ringCapacity = 1024; ///< Orders on their way to the thread.
};

} // namespace teaselward
