#pragma once

#include "core/job_answer.h"
#include "http/http_exchange.h"
#include "http/status_view.h"

namespace teaselward
{

/** Request that waits for an answer of the decisions. */
struct pending_request {
    http_exchange *exchange = nullptr;
    job_answer unanswered; ///< Answer if the adapter stops before the decisions have answered.
    status_view view = status_view::full; ///< Used if the state of the entry was requested.
    bool isAbandoned = false; ///< The caller has closed the connection.
};

} // namespace teaselward
