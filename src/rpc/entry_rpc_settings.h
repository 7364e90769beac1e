#pragma once

#include "core/entry_info.h"

#include <chrono>
#include <cstddef>
#include <string>
#include <vector>

namespace teaselward
{

class snapshot_source;

/** Settings of the connections of an entry to agents and to other entries. */
struct entry_rpc_settings {
    entry_info self; ///< Its address is the one that the adapter listens on.
    std::vector<std::string> peers; ///< Addresses of other entries as IP:PORT.
    std::chrono::milliseconds lease = std::chrono::seconds(2); ///< A session that receives no message for this time is lost.
    std::chrono::milliseconds heartbeat = std::chrono::milliseconds(500); ///< A heartbeat is sent when nothing else was sent for this time.
    std::chrono::milliseconds reconnectLimit = std::chrono::seconds(2); ///< Longest delay of the jittered backoff.
    std::chrono::milliseconds forgetAfter = std::chrono::minutes(10); ///< A learned address that stays unreachable for this time is dropped.
    std::chrono::milliseconds forwardConnect = std::chrono::seconds(1); ///< Longest time that a forwarded request waits for a connection to its home entry.
    snapshot_source *snapshots = nullptr; ///< Copy of the configuration; may be null, and must outlive the adapter.
    std::size_t ringCapacity = 8192; ///< Capacity of the command ring.
};

} // namespace teaselward
