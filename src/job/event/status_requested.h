#pragma once

#include "core/request_id.h"

namespace teaselward
{

/** An operator requests the status of the entry. */
struct status_requested {
    request_id request;
};

} // namespace teaselward
