#pragma once

#include "core/job_answer.h"
#include "core/reason.h"
#include "http/http_response.h"

#include <string>
#include <string_view>
#include <vector>

namespace teaselward
{

/**
 * Encodes the answer to a submission, a query or a cancellation.
 * @param answer the answer
 * @return response with the status of the answer's reason
 */
http_response encodeAnswer(const job_answer &answer);

/**
 * Encodes a refusal by the HTTP interface itself.
 * @param why reason of the refusal
 * @param notRun whether no task was started and none will be
 * @param detail explanation for the developer of the caller; may be empty
 * @return response with the status of the reason
 */
http_response encodeRefusal(reason why, bool notRun, std::string_view detail);

/**
 * Encodes new tickets.
 * @param texts encoded tickets
 * @return response with status 200
 */
http_response encodeTickets(const std::vector<std::string> &texts);

} // namespace teaselward
