#pragma once

#include "rpc/agent_rpc.h"
#include "rpc/capturing_logger.h"
#include "rpc/event_reader.h"

#include <string>
#include <vector>

namespace teaselward
{

/** RPC adapter of an agent; the test reads its event ring in place of the decision thread. */
struct test_agent {
    test_agent(std::uint64_t id, std::vector<std::string> entries)
        : test_agent(makeSettings(id, std::move(entries)))
    {
    }

    explicit test_agent(const agent_rpc_settings &settings)
        : ring(8192)
        , rpc(settings, ring, log)
        , events(ring)
    {
    }

    ~test_agent()
    {
        stop();
    }

    /** Stops the adapter. The ring is closed first, because nothing reads it any more. */
    void stop()
    {
        ring.close();
        rpc.stop();
    }

    static agent_rpc_settings makeSettings(std::uint64_t id, std::vector<std::string> entries)
    {
        agent_rpc_settings settings;
        settings.self = agent_info{agent_id{id}, "127.0.0.1:9", "zone-a", 8, 64, {"lookup", "check"}, false};
        settings.entries = std::move(entries);
        return settings;
    }

    capturing_logger log;
    bounded_ring<agent_event> ring;
    agent_rpc rpc;
    event_reader<agent_event> events;
};

} // namespace teaselward
