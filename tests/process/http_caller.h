#pragma once

#include "process/http_reply.h"

#include <chrono>
#include <string>

namespace teaselward::testing
{

/**
 * Sends a POST request and waits for the answer.
 * @param url the URL
 * @param body JSON body
 * @param timeout longest time to wait
 * @return the answer
 */
http_reply post(const std::string &url, const nlohmann::json &body, std::chrono::milliseconds timeout = std::chrono::seconds(60));

/**
 * Sends a PUT request with a JSON body.
 * @param url address with path
 * @param body the body
 * @return the response; its status is zero if there was none
 */
http_reply put(const std::string &url, const nlohmann::json &body);

/**
 * Sends a GET request and waits for the answer.
 * @param url the URL
 * @return the answer
 */
http_reply get(const std::string &url);

} // namespace teaselward::testing
