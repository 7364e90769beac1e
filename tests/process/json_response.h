#pragma once

#include <nlohmann/json.hpp>

namespace teaselward::testing
{

/** Answer to an HTTP request of a test. */
struct json_response {
    long status = 0; ///< Zero if no answer came.
    nlohmann::json body;
};

} // namespace teaselward::testing
