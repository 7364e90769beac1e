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
    std::chrono::milliseconds callLimit{250}; ///< Answers take a millisecond; a call without one may be carried out seconds later.
    std::size_t ringCapacity = 1024; ///< Orders on their way to the thread.
};

} // namespace teaselward
