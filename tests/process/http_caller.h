#pragma once

#include "process/json_response.h"

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
json_response post(const std::string &url, const nlohmann::json &body, std::chrono::milliseconds timeout = std::chrono::seconds(60));

/**
 * Sends a PUT request with a JSON body.
 * @param url address with path
 * @param body the body
 * @return the response; its status is zero if there was none
 */
json_response put(const std::string &url, const nlohmann::json &body);

/**
 * Sends a GET request and waits for the answer.
 * @param url the URL
 * @return the answer
 */
json_response get(const std::string &url);

} // namespace teaselward::testing
