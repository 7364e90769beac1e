#pragma once

#include "agent/action/call_endpoint.h"
#include "agent/action/stop_call.h"

#include <variant>

namespace teaselward
{

/** Order of the decisions of an agent to its endpoint. */
using worker_command = std::variant<call_endpoint, stop_call>;

} // namespace teaselward
