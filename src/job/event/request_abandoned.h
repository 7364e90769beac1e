#pragma once

#include "core/request_id.h"

namespace teaselward
{

/** The caller of a request closed its connection before it was answered. */
struct request_abandoned {
    request_id request;
};

} // namespace teaselward
