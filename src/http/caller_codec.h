#pragma once

#include "core/job_answer.h"
#include "http/submission_request.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace teaselward
{

/**
 * Encodes a request for tickets.
 * @param count number of tickets
 * @return JSON text
 */
std::string encodeTicketsRequest(std::uint32_t count);

/**
 * Encodes a submission.
 * @param request the submission; its strings must be UTF-8
 * @return JSON text; bytes that are not UTF-8 are replaced
 */
std::string encodeSubmission(const submission_request &request);

/**
 * Decodes new tickets.
 * @param text JSON text
 * @return the encoded tickets; empty if the text holds none
 */
std::vector<std::string> decodeTickets(std::string_view text);

/**
 * Decodes an answer or a refusal.
 * @param text JSON text
 * @return the answer, or std::nullopt if the text is not an answer
 */
std::optional<job_answer> decodeAnswer(std::string_view text);

} // namespace teaselward
