#include "rpc/entry_loop.h"

#include "rpc/command_pump.h"
#include "rpc/dialer.h"
#include "rpc/entry_dispatcher.h"
#include "rpc/entry_gate.h"
#include "rpc/entry_port.h"
#include "rpc/entry_rpc_context.h"
#include "rpc/forwarder.h"
#include "rpc/peer_session.h"
#include "rpc/peer_table.h"
#include "rpc/rpc_limits.h"
#include "rpc/run_guarded.h"
#include "rpc/tick_interval.h"

#include <algorithm>
#include <utility>

namespace teaselward
{

namespace
{

// Delay after a failed accept, for example when the process has no file descriptor left.
constexpr std::chrono::milliseconds AcceptRetryDelay{100};

} // namespace

namespace detail
{

class entry_loop_private
{
public:
    entry_loop_private(const entry_rpc_settings &settings,
                       const listen_socket &listener,
                       bounded_ring<entry_event> &events,
                       bounded_ring<entry_action> &commands,
                       wake_fd &wake,
                       traffic_counter &traffic,
                       logger &log,
                       kj::AsyncIoContext &loop);

    void run();

private:
    void open(const std::string &address, kj::Own<kj::AsyncIoStream> stream);
    void handleUnreachable(const std::string &address);
    void accept(kj::Own<kj::AsyncIoStream> stream);
    kj::Promise<void> acceptAll();
    kj::Promise<void> tick();

    kj::AsyncIoContext &m_io;
    kj::Timer &m_timer;
    std::chrono::milliseconds m_tick;
    entry_info m_self;
    kj::Own<kj::ConnectionReceiver> m_receiver;
    pending_table<job_answer> m_requests;
    entry_directory m_directory;
    agent_session_table m_agents;
    peer_table m_peers;
    forwarder m_forwarder;
    link_table m_links;
    entry_rpc_context m_context;
    dialer m_dialer;
    entry_dispatcher m_dispatcher;
    command_pump<entry_action> m_pump;
};

entry_loop_private::entry_loop_private(const entry_rpc_settings &settings,
                                       const listen_socket &listener,
                                       bounded_ring<entry_event> &events,
                                       bounded_ring<entry_action> &commands,
                                       wake_fd &wake,
                                       traffic_counter &traffic,
                                       logger &log,
                                       kj::AsyncIoContext &loop)
    : m_io(loop)
    , m_timer(loop.provider->getTimer())
    , m_tick(tickInterval(settings.lease, settings.heartbeat))
    , m_self(settings.self)
    , m_receiver(loop.lowLevelProvider->wrapListenSocketFd(listener.descriptor(),
                                                           kj::LowLevelAsyncIoProvider::ALREADY_NONBLOCK | kj::LowLevelAsyncIoProvider::ALREADY_CLOEXEC))
    , m_directory(
          entry_directory_settings{
              .reconnectLimit = settings.reconnectLimit, .forgetAfter = settings.forgetAfter, .capacity = MaxKnownEntries, .seed = settings.self.id.value},
          mono_clock::now())
    , m_peers(m_context)
    , m_forwarder(m_context)
    , m_links(m_timer, settings.lease, settings.heartbeat, traffic, log)
    , m_context{settings, m_self, events, log, m_timer, m_links, m_directory, m_agents, m_peers, m_forwarder, m_dialer, m_requests, {}}
    , m_dialer(
          loop.provider->getNetwork(),
          m_timer,
          m_directory,
          std::min(settings.lease, MaxConnectTime),
          [this](const std::string &address, kj::Own<kj::AsyncIoStream> stream) {
              open(address, std::move(stream));
          },
          [this](const std::string &address) {
              handleUnreachable(address);
          })
    , m_dispatcher(m_context)
    , m_pump(commands, wake, loop.unixEventPort, [this](entry_action &&action) {
        m_dispatcher.dispatch(std::move(action));
    })
{
    m_directory.exclude(m_self.address);
    for (const std::string &address : settings.peers) {
        m_directory.configure(address, mono_clock::now());
    }
}

void entry_loop_private::run()
{
    auto ticking = tick().eagerlyEvaluate(nullptr);
    auto accepting = acceptAll().eagerlyEvaluate(nullptr);
    m_pump.run().wait(m_io.waitScope);
    m_links.flush(FlushTimeout).wait(m_io.waitScope);
    // Otherwise the process would accept or open new connections while it ends the old ones.
    ticking = nullptr;
    accepting = nullptr;
    m_links.finish(FinishTimeout).wait(m_io.waitScope);
}

kj::Promise<void> entry_loop_private::tick()
{
    runGuarded(m_context.log, "tick", [this] {
        const mono_time now = mono_clock::now();
        m_links.check(now);
        m_forwarder.check(now);
        m_dialer.dial(now);
    });
    return m_timer.afterDelay(m_tick.count() * kj::MILLISECONDS).then([this] {
        return tick();
    });
}

kj::Promise<void> entry_loop_private::acceptAll()
{
    return m_receiver->accept().then(
        [this](kj::Own<kj::AsyncIoStream> stream) {
            runGuarded(m_context.log, "accept", [this, &stream] {
                accept(std::move(stream));
            });
            return acceptAll();
        },
        [this](kj::Exception && /*exception*/) {
            return m_timer.afterDelay(AcceptRetryDelay.count() * kj::MILLISECONDS).then([this] {
                return acceptAll();
            });
        });
}

void entry_loop_private::accept(kj::Own<kj::AsyncIoStream> stream)
{
    if (rpc_link *link = m_links.add(std::move(stream), link_side::accepted)) {
        link->serve(kj::heap<entry_gate>(m_context, link->number()));
        m_links.watch(*link);
    }
}

// Starts a session on a new connection to another entry.
void entry_loop_private::open(const std::string &address, kj::Own<kj::AsyncIoStream> stream)
{
    rpc_link *link = m_links.add(std::move(stream), link_side::dialed);
    if (link == nullptr) {
        m_directory.setLost(address, mono_clock::now());
        handleUnreachable(address);
        return;
    }
    auto session = std::make_shared<peer_session>(m_context, link->number(), address);
    link->setUser(session);
    auto gate = link->connect().castAs<wire::EntryGate>();
    m_links.watch(*link);
    session->greet(std::move(gate), kj::heap<entry_port>(m_context, session));
}

// If the other entry has connected in the meantime, the directory must not connect to it again.
void entry_loop_private::handleUnreachable(const std::string &address)
{
    if (const peer_session *session = m_peers.find(address)) {
        m_directory.setConnected(address, session->peer()->id);
        return;
    }
    m_forwarder.handleUnreachable(address);
}

} // namespace detail

entry_loop::entry_loop(const entry_rpc_settings &settings,
                       const listen_socket &listener,
                       bounded_ring<entry_event> &events,
                       bounded_ring<entry_action> &commands,
                       wake_fd &wake,
                       traffic_counter &traffic,
                       logger &log,
                       kj::AsyncIoContext &io)
    : d(std::make_unique<detail::entry_loop_private>(settings, listener, events, commands, wake, traffic, log, io))
{
}

entry_loop::~entry_loop() = default;

void entry_loop::run()
{
    d->run();
}

} // namespace teaselward
