#include "rpc/agent_rpc.h"

#include "base/duty_thread.h"
#include "base/wake_fd.h"
#include "rpc/agent_loop.h"
#include "rpc/kj_log.h"
#include "rpc/traffic_counter.h"

#include <kj/async-io.h>

#include <optional>
#include <utility>

namespace teaselward
{

namespace detail
{

class agent_rpc_private
{
public:
    agent_rpc_private(const agent_rpc_settings &rpcSettings, bounded_ring<agent_event> &eventRing, logger &decisionLog)
        : settings(rpcSettings)
        , events(eventRing)
        , log(decisionLog)
        , commands(rpcSettings.ringCapacity)
    {
        commands.setWaker([this] {
            wake.signal();
        });
        thread.emplace("rpc", [this] {
            run();
        });
    }

    // The library's event loop belongs to the thread that creates it.
    void run()
    {
        kj_log messages(log);
        auto io = kj::setupAsyncIo();
        agent_loop loop(settings, events, commands, wake, traffic, log, io);
        loop.run();
    }

    agent_rpc_settings settings;
    bounded_ring<agent_event> &events;
    logger &log;
    wake_fd wake;
    traffic_counter traffic;
    bounded_ring<agent_action> commands;
    std::optional<duty_thread> thread;
};

} // namespace detail

agent_rpc::agent_rpc(const agent_rpc_settings &settings, bounded_ring<agent_event> &events, logger &log)
    : d(std::make_unique<detail::agent_rpc_private>(settings, events, log))
{
}

agent_rpc::~agent_rpc()
{
    stop();
}

bool agent_rpc::post(agent_action &&action)
{
    return d->commands.tryPush(std::move(action));
}

void agent_rpc::stop()
{
    d->commands.close();
    d->thread.reset();
}

rpc_traffic agent_rpc::traffic() const
{
    return d->traffic.totals();
}

} // namespace teaselward
