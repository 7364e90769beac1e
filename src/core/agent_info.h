#pragma once

#include "core/agent_id.h"

#include <cstdint>
#include <string>
#include <vector>

namespace teaselward
{

/** Announcement of an agent and its endpoint. */
struct agent_info {
    agent_id id;
    std::string address; ///< Address of the endpoint as IP:PORT; stable over restarts.
    std::string failureDomain;
    std::uint32_t slots = 0; ///< Tasks that the endpoint runs at once.
    std::uint32_t connections = 0; ///< Connections that the endpoint accepts.
    std::vector<std::string> kinds; ///< Kinds that the endpoint offers.
    bool leaving = false; ///< No new work is accepted.
};

} // namespace teaselward
