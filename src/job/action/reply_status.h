#pragma once

#include "core/entry_status.h"
#include "core/request_id.h"

namespace teaselward
{

/** Answers a request for the status of the entry. */
struct reply_status {
    request_id request;
    entry_status status;
};

} // namespace teaselward
