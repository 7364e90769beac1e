#pragma once

#include <string>

namespace teaselward
{

/** Kind whose tasks were running when an endpoint crashed. */
struct crash_suspect {
    std::string kind;
    bool isRepeated = false; ///< One of its tasks had run on another endpoint that crashed at the same age of the run.
};

} // namespace teaselward
