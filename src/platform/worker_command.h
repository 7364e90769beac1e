#pragma once

#include "agent/action/call_endpoint.h"
#include "agent/action/confirm_home.h"
#include "agent/action/stop_call.h"

#include <variant>

namespace teaselward
{

/** Command from the decision thread of an agent to the client of its endpoint. */
using worker_command = std::variant<call_endpoint, stop_call, confirm_home>;

} // namespace teaselward
