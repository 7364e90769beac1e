#pragma once

#include "core/crash_suspect.h"

#include <vector>

namespace teaselward
{

/** Notifies every entry that the endpoint has crashed. Sent before the answers to the starts that were lost with it. */
struct report_crash {
    std::vector<crash_suspect> suspects; ///< Each kind once, sorted by name.
};

} // namespace teaselward
