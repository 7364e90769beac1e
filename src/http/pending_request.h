#pragma once

#include "core/job_answer.h"
#include "http/http_exchange.h"
#include "http/status_view.h"

namespace teaselward
{

/** Request that waits for an answer from the decision thread. */
struct pending_request {
    http_exchange *exchange = nullptr;
    job_answer unanswered; ///< Answer if the front end stops before the decision thread has answered.
    status_view view = status_view::full; ///< View of the entry's status, if that is requested.
    bool isPosted = false; ///< The decision thread gets the request before all later events.
    bool isAbandoned = false; ///< The caller has closed the connection.
};

} // namespace teaselward
