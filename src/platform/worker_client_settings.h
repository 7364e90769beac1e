#pragma once

#include "agent/run/supervisor_settings.h"

#include <chrono>
#include <cstddef>
#include <string>

namespace teaselward
{

/** Settings of worker_client. */
struct worker_client_settings {
    std::string address; ///< Address of the worker as IP:PORT.
    std::string id; ///< Id of the worker instance, which refuses calls for another id.
    supervisor_settings supervisor;
    /**
     * Timeout of a call. The worker runs on the same machine and responds within a millisecond, or within about 20 ms while the
     * machine is slowed. Until the timeout the effect of a call, and the end of a run that is not listed yet, may be unknown.
     */
    std::chrono::milliseconds callLimit{80};
    std::size_t ringCapacity = 1024; ///< Commands queued for the thread.
};

} // namespace teaselward
