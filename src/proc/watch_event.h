#pragma once

#include "agent/run/endpoint_announcement.h"

#include <cstdint>
#include <string>
#include <variant>

namespace teaselward
{

/** The endpoint said that it ends. */
struct endpoint_withdrawn {
    std::string id;
};

/** The endpoint runs nothing of others and takes starts. */
struct endpoint_ready {
    std::uint64_t life = 0;
};

/** A life of the endpoint has ended. */
struct endpoint_lost {
    std::uint64_t life = 0;
};

/** The process is to stop gracefully. */
struct watch_stopped {
};

/** Everything that changes which endpoint an agent serves. */
using watch_event = std::variant<endpoint_announcement, endpoint_withdrawn, endpoint_ready, endpoint_lost, watch_stopped>;

} // namespace teaselward
