#pragma once

#include <string>

namespace teaselward
{

/** The endpoint has announced that it stops. */
struct endpoint_withdrawn {
    std::string id;
};

} // namespace teaselward
