#pragma once

#include "core/agent_task_status.h"

#include <cstddef>
#include <string>
#include <vector>

namespace teaselward
{

/** @return total size of the bodies in bytes */
inline std::size_t bodySize(const std::vector<std::string> &bodies)
{
    std::size_t size = 0;
    for (const std::string &body : bodies) {
        size += body.size();
    }
    return size;
}

/** @return total size of the outcomes' bodies in bytes */
inline std::size_t bodySize(const std::vector<agent_task_status> &held)
{
    std::size_t size = 0;
    for (const agent_task_status &task : held) {
        size += task.outcome.body.size();
    }
    return size;
}

} // namespace teaselward
