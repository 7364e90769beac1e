#pragma once

#include "http/request_finished.h"
#include "job/entry_action.h"

#include <variant>

namespace teaselward
{

/** Item of the ring of the reply thread. */
using http_reply = std::variant<entry_action, request_finished>;

} // namespace teaselward
