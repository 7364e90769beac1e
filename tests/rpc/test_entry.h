#pragma once

#include "rpc/capturing_logger.h"
#include "rpc/entry_rpc.h"
#include "rpc/event_reader.h"

#include <string>
#include <vector>

namespace teaselward
{

/** RPC adapter of an entry on an ephemeral port; the test reads its event ring in place of the decision thread. */
struct test_entry {
    explicit test_entry(std::uint64_t id, std::vector<std::string> peers = {}, std::string address = "127.0.0.1:0")
        : test_entry(makeSettings(id, std::move(peers), std::move(address)))
    {
    }

    explicit test_entry(const entry_rpc_settings &settings)
        : ring(8192)
        , rpc(settings, ring, log)
        , events(ring)
    {
    }

    ~test_entry()
    {
        stop();
    }

    /** Stops the adapter. The ring is closed first, because nothing reads it any more. */
    void stop()
    {
        ring.close();
        rpc.stop();
    }

    static entry_rpc_settings makeSettings(std::uint64_t id, std::vector<std::string> peers = {}, std::string address = "127.0.0.1:0")
    {
        entry_rpc_settings settings;
        settings.self = entry_info{entry_id{id}, std::move(address), "zone-a"};
        settings.peers = std::move(peers);
        return settings;
    }

    capturing_logger log;
    bounded_ring<entry_event> ring;
    entry_rpc rpc;
    event_reader<entry_event> events;
};

} // namespace teaselward
