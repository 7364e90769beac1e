#pragma once

#include "core/job_answer.h"
#include "http/http_response.h"
#include "platform/job_body.h"

#include <string>
#include <string_view>

namespace teaselward
{

/**
 * Decodes the body of a submission. Unknown members are ignored, because a client may be newer than this process.
 * @param text the body
 * @param body set to its content
 * @return empty string on success, otherwise an error message
 */
std::string decodeJob(std::string_view text, job_body &body);

/**
 * Encodes the response to a submission. A refusal that says "not run" has status 503, which signals this to the client. Without
 * that certainty the status is 504, after which the client submits the job again.
 * @param answer answer from the decision thread
 */
http_response encodeJobAnswer(const job_answer &answer);

/**
 * Encodes an error response.
 * @param status HTTP status
 * @param why outcome for the metrics
 * @param text error message
 */
http_response encodeClientError(unsigned status, reason why, std::string_view text);

/**
 * Encodes the number of pending jobs of a route.
 * @param count number of pending jobs
 */
http_response encodePendingCount(std::uint64_t count);

} // namespace teaselward
