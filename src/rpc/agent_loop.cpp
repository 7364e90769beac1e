#include "rpc/agent_loop.h"

#include "rpc/action_table.h"
#include "rpc/agent_port.h"
#include "rpc/agent_rpc_context.h"
#include "rpc/command_pump.h"
#include "rpc/dialer.h"
#include "rpc/entry_session.h"
#include "rpc/rpc_limits.h"
#include "rpc/run_guarded.h"
#include "rpc/tick_interval.h"

#include <algorithm>
#include <utility>

namespace teaselward
{

namespace detail
{

class agent_loop_private final
{
public:
    agent_loop_private(const agent_rpc_settings &settings,
                       bounded_ring<agent_event> &events,
                       bounded_ring<agent_action> &commands,
                       wake_fd &wake,
                       traffic_counter &traffic,
                       logger &log,
                       kj::AsyncIoContext &loop);

    void run();

private:
    using handler = void (agent_loop_private::*)(agent_action &&);
    static const action_table<agent_action, handler> Handlers;

    void answerStart(agent_action &&action);
    void answerRevoke(agent_action &&action);
    void answerFence(agent_action &&action);
    void grantCredits(agent_action &&action);
    void endSessions(agent_action &&action);
    void announceLeaving(agent_action &&action);
    void reportCrash(agent_action &&action);
    void reportEvacuations(agent_action &&action);
    void reportInterference(agent_action &&action);
    void dropAction(agent_action &&action);

    void closeSurplus(mono_time now);
    void handle(agent_action &&action);
    void open(const std::string &address, kj::Own<kj::AsyncIoStream> stream);
    kj::Promise<void> tick();

    kj::AsyncIoContext &m_io;
    std::chrono::milliseconds m_tick;
    agent_info m_self;
    pending_table<answer_start> m_starts;
    pending_table<answer_revoke> m_revokes;
    pending_table<answer_fence> m_fences;
    entry_directory m_directory;
    entry_session_table m_sessions;
    link_table m_links;
    agent_rpc_context m_context;
    dialer m_dialer;
    command_pump<agent_action> m_pump;
};

// Indexed by the alternative of agent_action; actions for other adapters are dropped.
const action_table<agent_action, agent_loop_private::handler> agent_loop_private::Handlers
    = action_table<agent_action, handler>(&agent_loop_private::dropAction)
          .set<answer_start>(&agent_loop_private::answerStart)
          .set<answer_revoke>(&agent_loop_private::answerRevoke)
          .set<answer_fence>(&agent_loop_private::answerFence)
          .set<grant_credits>(&agent_loop_private::grantCredits)
          .set<end_sessions>(&agent_loop_private::endSessions)
          .set<announce_leaving>(&agent_loop_private::announceLeaving)
          .set<report_crash>(&agent_loop_private::reportCrash)
          .set<report_evacuations>(&agent_loop_private::reportEvacuations)
          .set<report_interference>(&agent_loop_private::reportInterference);

agent_loop_private::agent_loop_private(const agent_rpc_settings &settings,
                                       bounded_ring<agent_event> &events,
                                       bounded_ring<agent_action> &commands,
                                       wake_fd &wake,
                                       traffic_counter &traffic,
                                       logger &log,
                                       kj::AsyncIoContext &loop)
    : m_io(loop)
    , m_tick(tickInterval(settings.lease, settings.heartbeat))
    , m_self(settings.self)
    , m_directory(entry_directory_settings{.reconnectLimit = settings.reconnectLimit,
                                           .forgetAfter = settings.forgetAfter,
                                           .capacity = MaxKnownEntries,
                                           .seed = settings.self.id.value,
                                           .sessionTarget = settings.sessionTarget},
                  mono_clock::now())
    , m_links(loop.provider->getTimer(), settings.lease, settings.heartbeat, traffic, log)
    , m_context{settings, m_self, events, log, m_links, m_directory, m_sessions, m_starts, m_revokes, m_fences}
    , m_dialer(
          loop.provider->getNetwork(),
          loop.provider->getTimer(),
          m_directory,
          std::min(settings.lease, MaxConnectTime),
          [this](const std::string &address, kj::Own<kj::AsyncIoStream> stream) {
              open(address, std::move(stream));
          },
          [](const std::string & /*address*/) {})
    , m_pump(commands, wake, loop.unixEventPort, [this](agent_action &&action) {
        handle(std::move(action));
    })
{
    for (const std::string &address : settings.entries) {
        m_directory.configure(address, mono_clock::now());
    }
}

void agent_loop_private::run()
{
    auto ticking = tick().eagerlyEvaluate(nullptr);
    m_pump.run().wait(m_io.waitScope);
    m_links.flush(FlushTimeout).wait(m_io.waitScope);
    // Otherwise the process would open new connections while it closes the old ones.
    ticking = nullptr;
    m_links.finish(FinishTimeout).wait(m_io.waitScope);
}

kj::Promise<void> agent_loop_private::tick()
{
    runGuarded(m_context.log, "tick", [this] {
        const mono_time now = mono_clock::now();
        m_links.check(now);
        m_dialer.dial(now);
        closeSurplus(now);
    });
    return m_io.provider->getTimer().afterDelay(m_tick.count() * kj::MILLISECONDS).then([this] {
        return tick();
    });
}

// Retires the sessions that the directory no longer needs, and closes those that were retired earlier and are idle. The links are
// collected first, because closing one changes the table of sessions.
void agent_loop_private::closeSurplus(mono_time now)
{
    std::vector<std::uint64_t> idle;
    for (const auto &[id, session] : m_sessions) {
        if (session->isRetired(now)) {
            idle.push_back(session->link());
        }
    }
    for (const std::uint64_t link : idle) {
        m_links.close(link, "the session is not needed");
    }
    for (const std::string &address : m_directory.takeSurplus(now)) {
        for (const auto &[id, session] : m_sessions) {
            if (session->address() == address) {
                session->retire(now);
            }
        }
    }
}

// Starts a session on a new connection and registers there.
void agent_loop_private::open(const std::string &address, kj::Own<kj::AsyncIoStream> stream)
{
    rpc_link *link = m_links.add(std::move(stream), link_side::dialed);
    if (link == nullptr) {
        m_directory.setLost(address, mono_clock::now());
        return;
    }
    auto session = std::make_shared<entry_session>(m_context, address, link->number());
    link->setUser(session);
    auto gate = link->connect().castAs<wire::EntryGate>();
    m_links.watch(*link);
    session->registerAt(std::move(gate), kj::heap<agent_port>(m_context, session));
}

void agent_loop_private::handle(agent_action &&action)
{
    runGuarded(m_context.log, "action", [this, &action] {
        (this->*Handlers.at(action))(std::move(action));
    });
}

// Sessions that are registered later carry the present factor in their announcement.
void agent_loop_private::answerStart(agent_action &&action)
{
    auto &answer = std::get<answer_start>(action);
    if (answer.runTimeFactor > 0) {
        m_self.runTimeFactor = answer.runTimeFactor;
    }
    const std::uint64_t number = answer.call.value;
    m_starts.resolve(number, std::move(answer));
}

void agent_loop_private::answerRevoke(agent_action &&action)
{
    auto &answer = std::get<answer_revoke>(action);
    const std::uint64_t number = answer.call.value;
    m_revokes.resolve(number, std::move(answer));
}

void agent_loop_private::answerFence(agent_action &&action)
{
    auto &answer = std::get<answer_fence>(action);
    const std::uint64_t number = answer.call.value;
    m_fences.resolve(number, std::move(answer));
}

void agent_loop_private::grantCredits(agent_action &&action)
{
    const auto &grant = std::get<grant_credits>(action);
    const auto found = m_sessions.find(grant.entry);
    if (found != m_sessions.end()) {
        found->second->sendCredits(grant.delta);
    }
}

// The links are collected first, because closing one changes the table of sessions.
void agent_loop_private::endSessions(agent_action && /*action*/)
{
    std::vector<std::uint64_t> links;
    for (const auto &[id, session] : m_sessions) {
        links.push_back(session->link());
    }
    for (const std::uint64_t link : links) {
        m_links.close(link, "the agent was paused");
    }
}

// Sessions that are registered later carry the flag in their announcement.
void agent_loop_private::announceLeaving(agent_action && /*action*/)
{
    m_self.leaving = true;
    for (const auto &[id, session] : m_sessions) {
        session->sendLeaving();
    }
}

// The agent joins under a new id once its endpoint is back, so entries that register it from now on must place nothing.
void agent_loop_private::reportCrash(agent_action &&action)
{
    m_self.leaving = true;
    for (const auto &[id, session] : m_sessions) {
        session->sendCrashed(std::get<report_crash>(action).suspects);
    }
}

void agent_loop_private::reportEvacuations(agent_action &&action)
{
    const auto &report = std::get<report_evacuations>(action);
    const auto found = m_sessions.find(report.entry);
    if (found != m_sessions.end()) {
        found->second->sendEvacuations(report.state);
    }
}

void agent_loop_private::reportInterference(agent_action &&action)
{
    const auto &report = std::get<report_interference>(action);
    for (const auto &[id, session] : m_sessions) {
        if (!report.entry || *report.entry == id) {
            session->sendInterference(report.pairs);
        }
    }
}

void agent_loop_private::dropAction(agent_action &&action)
{
    m_context.log.write(log_part::rpc, "Dropped an action for another adapter. index=" + std::to_string(action.index()));
}

} // namespace detail

agent_loop::agent_loop(const agent_rpc_settings &settings,
                       bounded_ring<agent_event> &events,
                       bounded_ring<agent_action> &commands,
                       wake_fd &wake,
                       traffic_counter &traffic,
                       logger &log,
                       kj::AsyncIoContext &io)
    : d(std::make_unique<detail::agent_loop_private>(settings, events, commands, wake, traffic, log, io))
{
}

agent_loop::~agent_loop() = default;

void agent_loop::run()
{
    d->run();
}

} // namespace teaselward
