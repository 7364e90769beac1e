#include "rpc/entry_loop.h"

#include "rpc/action_table.h"
#include "rpc/agent_session.h"
#include "rpc/command_pump.h"
#include "rpc/dialer.h"
#include "rpc/entry_gate.h"
#include "rpc/entry_port.h"
#include "rpc/entry_rpc_context.h"
#include "rpc/forwarder.h"
#include "rpc/peer_session.h"
#include "rpc/peer_table.h"
#include "rpc/rpc_limits.h"
#include "rpc/tick_interval.h"

#include <string>
#include <utility>

namespace teaselward
{

namespace
{

// Wait after a failed accept, for example when no descriptor is left.
constexpr std::chrono::milliseconds AcceptRetry{100};

// A revocation that cannot be sent is reported this late, so that a decision that answers with the next revocation does not
// keep two threads busy.
constexpr std::chrono::milliseconds UnsentDelay{100};

} // namespace

namespace detail
{

class entry_loop_private final : private kj::TaskSet::ErrorHandler
{
public:
    entry_loop_private(const entry_rpc_settings &settings,
                       const listen_socket &listener,
                       bounded_ring<entry_event> &events,
                       bounded_ring<entry_action> &commands,
                       wake_fd &wake,
                       traffic_counter &traffic,
                       decision_log &log,
                       kj::AsyncIoContext &loop);

    void run();

private:
    using handler = void (entry_loop_private::*)(entry_action &&);
    static const action_table<entry_action, handler> Handlers;

    void startTask(entry_action &&action);
    void revokeTask(entry_action &&action);
    void fenceTicket(entry_action &&action);
    void forward(entry_action &&action);
    void sendDemand(entry_action &&action);
    void reportUsage(entry_action &&action);
    void replyJob(entry_action &&action);
    void refuse(entry_action &&action);

    agent_session *findAgent(const agent_id &agent) const;
    void open(const std::string &address, kj::Own<kj::AsyncIoStream> stream);
    void handleUnreachable(const std::string &address);
    void accept(kj::Own<kj::AsyncIoStream> stream);
    kj::Promise<void> acceptAll();
    kj::Promise<void> tick();
    void taskFailed(kj::Exception &&exception) override;

    kj::AsyncIoContext &m_io;
    kj::Timer &m_timer;
    std::chrono::milliseconds m_tick;
    entry_info m_self;
    kj::Own<kj::ConnectionReceiver> m_receiver;
    pending_table<job_answer> m_requests;
    entry_directory m_directory;
    agent_session_table m_agents;
    peer_table m_peers;
    forwarder m_forwards;
    link_table m_links;
    entry_rpc_context m_context;
    dialer m_dialer;
    command_pump<entry_action> m_pump;
    kj::TaskSet m_tasks;
};

// Indexed by the alternative of entry_action; those for other adapters are refused.
const action_table<entry_action, entry_loop_private::handler> entry_loop_private::Handlers = action_table<entry_action, handler>(&entry_loop_private::refuse)
                                                                                                 .set<start_task>(&entry_loop_private::startTask)
                                                                                                 .set<revoke_task>(&entry_loop_private::revokeTask)
                                                                                                 .set<fence_ticket>(&entry_loop_private::fenceTicket)
                                                                                                 .set<forward_job>(&entry_loop_private::forward)
                                                                                                 .set<forward_query>(&entry_loop_private::forward)
                                                                                                 .set<forward_cancel>(&entry_loop_private::forward)
                                                                                                 .set<send_demand>(&entry_loop_private::sendDemand)
                                                                                                 .set<report_usage>(&entry_loop_private::reportUsage)
                                                                                                 .set<reply_job>(&entry_loop_private::replyJob);

entry_loop_private::entry_loop_private(const entry_rpc_settings &settings,
                                       const listen_socket &listener,
                                       bounded_ring<entry_event> &events,
                                       bounded_ring<entry_action> &commands,
                                       wake_fd &wake,
                                       traffic_counter &traffic,
                                       decision_log &log,
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
    , m_forwards(m_context)
    , m_links(m_timer, settings.lease, settings.heartbeat, traffic, log)
    , m_context{settings, m_self, events, log, m_timer, m_links, m_directory, m_agents, m_peers, m_forwards, m_requests}
    , m_dialer(
          loop.provider->getNetwork(),
          m_timer,
          m_directory,
          settings.lease,
          [this](const std::string &address, kj::Own<kj::AsyncIoStream> stream) {
              open(address, std::move(stream));
          },
          [this](const std::string &address) {
              handleUnreachable(address);
          })
    , m_pump(commands,
             wake,
             loop.unixEventPort,
             [this](entry_action &&action) {
                 (this->*Handlers.at(action))(std::move(action));
             })
    , m_tasks(*this)
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
    m_links.flush(FlushTime).wait(m_io.waitScope);
}

kj::Promise<void> entry_loop_private::tick()
{
    const mono_time now = mono_clock::now();
    m_links.check(now);
    m_forwards.check(now);
    m_dialer.dial(now);
    return m_timer.afterDelay(m_tick.count() * kj::MILLISECONDS).then([this] {
        return tick();
    });
}

kj::Promise<void> entry_loop_private::acceptAll()
{
    return m_receiver->accept().then(
        [this](kj::Own<kj::AsyncIoStream> stream) {
            accept(std::move(stream));
            return acceptAll();
        },
        [this](kj::Exception && /*exception*/) {
            return m_timer.afterDelay(AcceptRetry.count() * kj::MILLISECONDS).then([this] {
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

// The other entry may have connected in the meantime; the directory must then not connect again.
void entry_loop_private::handleUnreachable(const std::string &address)
{
    if (const peer_session *session = m_peers.find(address)) {
        m_directory.setConnected(address, session->peer()->id);
        return;
    }
    m_forwards.handleUnreachable(address);
}

agent_session *entry_loop_private::findAgent(const agent_id &agent) const
{
    const auto found = m_agents.find(agent);
    return found != m_agents.end() ? found->second : nullptr;
}

// No byte of a start without a session or above the size of a message is sent, so it is known not to have started.
void entry_loop_private::startTask(entry_action &&action)
{
    const auto &start = std::get<start_task>(action);
    agent_session *session = findAgent(start.agent);
    const bool isTooLarge = start.order.payload.size() > MessageBodyBytes;
    if (session != nullptr && !isTooLarge) {
        session->start(start.order);
        return;
    }
    task_outcome outcome;
    outcome.verdict = task_verdict::notStarted;
    outcome.why = isTooLarge ? reason::tooLarge : reason::noEndpoint;
    m_context.events.push(task_finished{start.agent, start.order.id, std::move(outcome), 0});
}

void entry_loop_private::revokeTask(entry_action &&action)
{
    const auto &revoke = std::get<revoke_task>(action);
    if (agent_session *session = findAgent(revoke.agent)) {
        session->revoke(revoke.id, revoke.delay);
        return;
    }
    const auto delay = std::max(revoke.delay, UnsentDelay);
    m_tasks.add(m_timer.afterDelay(delay.count() * kj::MILLISECONDS).then([this, revoke] {
        if (agent_session *session = findAgent(revoke.agent)) {
            session->revoke(revoke.id, std::chrono::milliseconds::zero());
        } else {
            m_context.events.push(start_unanswered{revoke.agent, revoke.id});
        }
    }));
}

void entry_loop_private::fenceTicket(entry_action &&action)
{
    const auto &fence = std::get<fence_ticket>(action);
    if (agent_session *session = findAgent(fence.agent)) {
        session->fence(fence.ticket);
    } else {
        m_context.events.push(ticket_fenced{fence.agent, fence.ticket, false, {}});
    }
}

void entry_loop_private::forward(entry_action &&action)
{
    m_forwards.forward(std::move(action));
    m_dialer.dial(mono_clock::now());
}

void entry_loop_private::sendDemand(entry_action &&action)
{
    const auto &demand = std::get<send_demand>(action);
    if (agent_session *session = findAgent(demand.agent)) {
        session->sendDemand(demand.queued);
    }
}

void entry_loop_private::reportUsage(entry_action &&action)
{
    const auto &report = std::get<report_usage>(action);
    for (peer_session *session : m_peers.newest()) {
        session->exchange(report.usage);
    }
}

void entry_loop_private::replyJob(entry_action &&action)
{
    auto &reply = std::get<reply_job>(action);
    if (reply.request.origin == request_origin::peer) {
        m_requests.resolve(reply.request.number, std::move(reply.answer));
    }
}

void entry_loop_private::refuse(entry_action &&action)
{
    m_context.log.write(log_part::rpc, "action refused, not for this adapter index=" + std::to_string(action.index()));
}

// Only timers run here; they do not fail.
void entry_loop_private::taskFailed(kj::Exception && /*exception*/)
{
}

} // namespace detail

entry_loop::entry_loop(const entry_rpc_settings &settings,
                       const listen_socket &listener,
                       bounded_ring<entry_event> &events,
                       bounded_ring<entry_action> &commands,
                       wake_fd &wake,
                       traffic_counter &traffic,
                       decision_log &log,
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
