#pragma once

#include "core/job_answer.h"
#include "core/request_id.h"
#include "core/ticket_id.h"

namespace teaselward
{

/** Answers a submission, a query or a cancellation. */
struct reply_job {
    request_id request;
    ticket_id ticket;
    job_answer answer;
};

} // namespace teaselward
