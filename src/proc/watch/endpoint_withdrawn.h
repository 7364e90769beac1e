#pragma once

#include <string>

namespace teaselward
{

/** The endpoint said that it ends. */
struct endpoint_withdrawn {
    std::string id;
};

} // namespace teaselward
