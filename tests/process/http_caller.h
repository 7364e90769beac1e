#pragma once

#include "process/json_response.h"

#include <chrono>
#include <string>

namespace teaselward::testing
{

/**
 * Sends a POST request with a JSON body and waits for the response.
 * @param url the URL
 * @param body the body
 * @param timeout timeout of the whole request
 * @return the response; its status is zero if there was none
 */
json_response post(const std::string &url, const nlohmann::json &body, std::chrono::milliseconds timeout = std::chrono::seconds(60));

/**
 * Sends a PUT request with a JSON body and waits up to 1 s for the response.
 * @param url the URL
 * @param body the body
 * @return the response; its status is zero if there was none
 */
json_response put(const std::string &url, const nlohmann::json &body);

/**
 * Sends a GET request and waits up to 10 s for the response.
 * @param url the URL
 * @return the response; its status is zero if there was none
 */
json_response get(const std::string &url);

} // namespace teaselward::testing
