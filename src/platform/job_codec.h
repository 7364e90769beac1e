#pragma once

#include "core/job_answer.h"
#include "http/http_response.h"
#include "platform/job_body.h"

#include <string>
#include <string_view>

namespace teaselward
{

/**
 * Reads the body of a submission. Members that are not known are ignored, since clients may be newer.
 * @param text the body
 * @param body set to its content
 * @return empty text on success, otherwise what is wrong
 */
std::string decodeJob(std::string_view text, job_body &body);

/**
 * Makes the response to a submission. A refusal that says "not run" has a status that tells the client so; without that
 * certainty the status is one after which the client sends the job again.
 * @param answer answer of the decisions
 */
http_response encodeJobAnswer(const job_answer &answer);

/**
 * Makes a response with an error text.
 * @param status status of HTTP
 * @param why outcome for the metrics
 * @param text what is wrong
 */
http_response encodeClientError(unsigned status, reason why, std::string_view text);

/** @param count jobs that wait @return the response to the question how many jobs of a route wait */
http_response encodePendingCount(std::uint64_t count);

} // namespace teaselward
