#pragma once

#include "core/agent_info.h"

#include <chrono>

namespace teaselward
{

/** What the decisions of an agent are told at start. */
struct agent_core_settings {
    agent_info self;
    std::chrono::milliseconds retention = std::chrono::minutes(15); ///< Time that a record is kept; longer than the lifetime of a ticket and the longest job.
};

} // namespace teaselward
