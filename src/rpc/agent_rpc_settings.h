#pragma once

#include "core/agent_info.h"

#include <chrono>
#include <cstddef>
#include <string>
#include <vector>

namespace teaselward
{

class snapshot_source;

/** Settings of the connections of an agent to the entries. */
struct agent_rpc_settings {
    agent_info self;
    std::vector<std::string> entries; ///< Addresses of entries as IP:PORT; the adapter learns further ones from these entries.
    std::chrono::milliseconds lease = std::chrono::seconds(2); ///< A session that receives no message for this time is lost.
    std::chrono::milliseconds heartbeat = std::chrono::milliseconds(500); ///< A heartbeat is sent when nothing else was sent for this time.
    std::chrono::milliseconds reconnectLimit = std::chrono::seconds(2); ///< Longest delay of the jittered backoff.
    std::chrono::milliseconds forgetAfter = std::chrono::minutes(10); ///< A learned address that stays unreachable for this time is dropped.
    std::size_t sessionTarget = 0; ///< Entries to keep sessions with; zero for all known entries.
    snapshot_source *snapshots = nullptr; ///< Receives copies of the configuration; may be null, and must outlive the adapter.
    std::size_t ringCapacity = 1024; ///< Capacity of the command ring.
};

} // namespace teaselward
