#pragma once

#include "core/request_id.h"
#include "core/ticket.h"

namespace teaselward
{

/** A caller or an operator cancels a job. */
struct job_cancelled {
    request_id request;
    ticket source;
};

} // namespace teaselward
