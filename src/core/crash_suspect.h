#pragma once

#include <string>

namespace teaselward
{

/** Kind whose tasks were running when an endpoint crashed. */
struct crash_suspect {
    std::string kind;
    bool isRepeated = false; ///< Another endpoint had crashed under one of its tasks, at nearly the same age of the run; at most one kind of a crash.
};

} // namespace teaselward
