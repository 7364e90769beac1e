#pragma once

#include <nlohmann/json.hpp>

namespace teaselward::testing
{

/** Response to an HTTP request that a test sent. */
struct json_response {
    long status = 0; ///< HTTP status; zero if there was no response.
    nlohmann::json body; ///< Discarded value if the body is not JSON.
};

} // namespace teaselward::testing
