#pragma once

#include "http/submission_request.h"
#include "http/tickets_request.h"

#include <chrono>
#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace teaselward
{

/**
 * Decodes the body of a request for tickets. An empty body asks for one ticket.
 * @param text JSON text
 * @param request receives the fields
 * @return empty text on success, otherwise what is wrong
 */
std::string decodeTicketsRequest(std::string_view text, tickets_request &request);

/**
 * Decodes the body of a submission.
 * @param text JSON text
 * @param taskLimit most tasks of a job
 * @param request receives the fields
 * @return empty text on success, otherwise what is wrong
 */
std::string decodeSubmission(std::string_view text, std::size_t taskLimit, submission_request &request);

/**
 * Decodes the body of a drain request.
 * @param text JSON text; may be empty
 * @param bound receives the bound if the text states one
 * @return empty text on success, otherwise what is wrong
 */
std::string decodeDrainRequest(std::string_view text, std::chrono::milliseconds &bound);

/**
 * Decodes a time in the query of a request.
 * @param text decimal number of milliseconds; empty for zero
 * @param limit longest time
 * @return the time, or nothing if the text is no number or the time is too long
 */
std::optional<std::chrono::milliseconds> decodeTime(std::string_view text, std::chrono::milliseconds limit);

} // namespace teaselward
