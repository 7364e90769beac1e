#pragma once

#include "core/request_id.h"

namespace teaselward
{

/** The caller of a request has closed its connection before the answer. */
struct request_abandoned {
    request_id request;
};

} // namespace teaselward
