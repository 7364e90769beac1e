#pragma once

#include "http/request_finished.h"
#include "job/entry_action.h"

#include <variant>

namespace teaselward
{

/** Item for the reply thread of a front end: an action that answers a request, or the end of a request for the metrics. */
using http_reply = std::variant<entry_action, request_finished>;

} // namespace teaselward
