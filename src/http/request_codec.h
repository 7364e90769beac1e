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
 * Decodes the body of a request for tickets. An empty body requests one ticket.
 * @param text JSON text
 * @param request receives the fields
 * @return empty string on success, otherwise an error message
 */
std::string decodeTicketsRequest(std::string_view text, tickets_request &request);

/**
 * Decodes the body of a submission.
 * @param text JSON text
 * @param taskLimit maximum tasks of a job
 * @param request receives the fields
 * @return empty string on success, otherwise an error message
 */
std::string decodeSubmission(std::string_view text, std::size_t taskLimit, submission_request &request);

/**
 * Decodes the body of a drain request.
 * @param text JSON text; may be empty
 * @param bound receives the time limit of the drain if the text states one
 * @return empty string on success, otherwise an error message
 */
std::string decodeDrainRequest(std::string_view text, std::chrono::milliseconds &bound);

/**
 * Decodes a duration in the query of a request.
 * @param text decimal number of milliseconds; empty for zero
 * @param limit maximum duration
 * @return the duration, or std::nullopt if the text is not a number or exceeds the limit
 */
std::optional<std::chrono::milliseconds> decodeTime(std::string_view text, std::chrono::milliseconds limit);

} // namespace teaselward
