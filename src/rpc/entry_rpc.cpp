#include "rpc/entry_rpc.h"

#include "base/duty_thread.h"
#include "base/wake_fd.h"
#include "rpc/entry_loop.h"
#include "rpc/kj_log.h"
#include "rpc/listen_socket.h"
#include "rpc/traffic_counter.h"

#include <kj/async-io.h>

#include <optional>
#include <utility>

namespace teaselward
{

namespace detail
{

class entry_rpc_private
{
public:
    entry_rpc_private(const entry_rpc_settings &rpcSettings, bounded_ring<entry_event> &eventRing, logger &decisionLog)
        : settings(rpcSettings)
        , listener(rpcSettings.self.address)
        , events(eventRing)
        , log(decisionLog)
        , commands(rpcSettings.ringCapacity)
    {
        settings.self.address = listener.address();
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
        entry_loop loop(settings, listener, events, commands, wake, traffic, log, io);
        loop.run();
    }

    entry_rpc_settings settings;
    listen_socket listener;
    bounded_ring<entry_event> &events;
    logger &log;
    wake_fd wake;
    traffic_counter traffic;
    bounded_ring<entry_action> commands;
    std::optional<duty_thread> thread;
};

} // namespace detail

entry_rpc::entry_rpc(const entry_rpc_settings &settings, bounded_ring<entry_event> &events, logger &log)
    : d(std::make_unique<detail::entry_rpc_private>(settings, events, log))
{
}

entry_rpc::~entry_rpc()
{
    stop();
}

bool entry_rpc::post(entry_action &&action)
{
    return d->commands.tryPush(std::move(action));
}

void entry_rpc::stop()
{
    d->commands.close();
    d->thread.reset();
}

const std::string &entry_rpc::address() const
{
    return d->listener.address();
}

rpc_traffic entry_rpc::traffic() const
{
    return d->traffic.totals();
}

} // namespace teaselward
