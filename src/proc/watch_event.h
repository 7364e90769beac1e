#pragma once

#include "agent/run/endpoint_announcement.h"
#include "proc/watch/endpoint_lost.h"
#include "proc/watch/endpoint_ready.h"
#include "proc/watch/endpoint_withdrawn.h"
#include "proc/watch/watch_stop_requested.h"

#include <variant>

namespace teaselward
{

/** Events that decide which endpoint instance the agent serves. */
using watch_event = std::variant<endpoint_announcement, endpoint_withdrawn, endpoint_ready, endpoint_lost, watch_stop_requested>;

} // namespace teaselward
