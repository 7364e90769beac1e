#include "chain/chain_session.h"

#include "member/session_state.h"

#include <algorithm>
#include <chrono>
#include <utility>

namespace teaselward
{

namespace
{

using namespace std::chrono_literals;

// As in the settings of the users' platform.
constexpr std::chrono::milliseconds Lease = 600ms;
constexpr std::chrono::milliseconds Heartbeat = 200ms;
constexpr std::chrono::milliseconds Tick = 50ms;

constexpr std::chrono::microseconds MinDelay = 300us;
constexpr std::chrono::microseconds MaxDelay = 900us;

// Time after a cut until TCP sends the waiting messages again.
constexpr std::chrono::microseconds MaxRetransmissionDelay = 200ms;

} // namespace

chain_session::chain_session(virtual_timeline &timeline, seeded_random &random, simulated_process &entry, simulated_process &agent, session_events events)
    : m_timeline(timeline)
    , m_random(random)
    , m_entry{.process = entry,
              .joined = std::move(events.agentJoined),
              .lost = std::move(events.agentLost),
              .monitor = session_monitor(Lease, Heartbeat, timeline.now())}
    , m_agent{.process = agent,
              .joined =
                  [this, joined = std::move(events.entryJoined)] {
                      joined(m_registrationSentAt);
                  },
              .lost = std::move(events.entryLost),
              .monitor = session_monitor(Lease, Heartbeat, timeline.now())}
    , m_confirmed(std::move(events.entryConfirmed))
{
}

bool chain_session::isCut(const side &to) const
{
    return to.cutUntil > m_timeline.now();
}

// A connection can be made only if both directions work.
bool chain_session::isAnyCut() const
{
    return isCut(m_entry) || isCut(m_agent);
}

bool chain_session::isOpenAtEntry() const
{
    return m_entry.isOpen;
}

bool chain_session::isOpenAtAgent() const
{
    return m_agent.isOpen;
}

chain_session::side &chain_session::peerOf(side &one)
{
    return &one == &m_entry ? m_agent : m_entry;
}

void chain_session::dial()
{
    if (isAnyCut()) {
        return;
    }
    m_entry.process.post(process_lane::rpc, m_random.between(MinDelay, MaxDelay), [this, sentAt = m_timeline.now()] {
        if (isAnyCut()) {
            return;
        }
        close(m_entry, false);
        open(m_entry, ++m_sessions);
        send(m_entry, m_agent, true, [this, session = m_sessions, sentAt] {
            m_registrationSentAt = sentAt;
            m_calledAt = sentAt;
            open(m_agent, session);
        });
    });
}

void chain_session::open(side &one, std::uint64_t session)
{
    one.isOpen = true;
    one.session = session;
    one.monitor = session_monitor(Lease, Heartbeat, m_timeline.now());
    one.joined();
    tick(one, session);
}

// Closes one side. The other side gets a reset, unless the connection to it is cut.
void chain_session::close(side &one, bool notifiesPeer)
{
    if (!one.isOpen) {
        return;
    }
    one.isOpen = false;
    one.lost();
    if (notifiesPeer && !isCut(peerOf(one))) {
        sendReset(peerOf(one), one.session);
    }
}

// The RPC thread notices a reset after the messages that arrived before it.
void chain_session::sendReset(side &to, std::uint64_t session)
{
    to.process.post(process_lane::rpc, m_random.between(MinDelay, MaxDelay), [this, &to, session] {
        if (to.isOpen && to.session == session) {
            close(to, false);
        }
    });
}

void chain_session::sendToAgent(std::function<void()> deliver)
{
    if (m_entry.isOpen) {
        send(m_entry, m_agent, false, std::move(deliver));
    }
}

void chain_session::sendToEntry(std::function<void()> deliver)
{
    if (m_agent.isOpen) {
        send(m_agent, m_entry, false, std::move(deliver));
    }
}

void chain_session::send(side &from, side &to, bool isWelcome, std::function<void()> deliver)
{
    from.monitor.recordSent(m_timeline.now());
    mono_time due = m_timeline.now() + m_random.between(MinDelay, MaxDelay);
    if (!to.incoming.empty()) {
        due = std::max(due, to.incoming.back().due);
    }
    to.incoming.push_back({.due = due, .session = from.session, .isWelcome = isWelcome, .deliver = std::move(deliver)});
    m_timeline.at(due, [this, &to] {
        pump(to);
    });
}

// Delivers the messages that are due, or tries again once the cut is over.
void chain_session::pump(side &to)
{
    if (isCut(to) && !to.incoming.empty()) {
        m_timeline.at(to.cutUntil + m_random.between(0us, MaxRetransmissionDelay), [this, &to] {
            pump(to);
        });
        return;
    }
    while (!to.incoming.empty() && to.incoming.front().due <= m_timeline.now()) {
        const detail::session_message one = std::move(to.incoming.front());
        to.incoming.pop_front();
        if (one.session != to.resetSession) {
            to.process.post(process_lane::rpc, 0us, [this, &to, one] {
                receive(to, one);
            });
        } else if (!isCut(peerOf(to))) {
            sendReset(peerOf(to), one.session);
        }
    }
}

void chain_session::receive(side &to, const detail::session_message &one)
{
    const bool isNewest = one.session == m_sessions;
    if (one.isWelcome ? !isNewest : (!to.isOpen || to.session != one.session)) {
        return;
    }
    if (one.isWelcome) {
        close(to, false);
    }
    to.monitor.recordReceived(m_timeline.now());
    one.deliver();
}

// Sends a heartbeat. That of the agent is answered, which confirms the session as of the time at which it was sent.
void chain_session::sendHeartbeat(side &one)
{
    if (&one == &m_entry) {
        send(m_entry, m_agent, false, [] {});
        return;
    }
    m_calledAt = m_timeline.now();
    send(m_agent, m_entry, false, [this, sentAt = m_calledAt] {
        send(m_entry, m_agent, false, [this, sentAt] {
            m_confirmed(sentAt);
        });
    });
}

// Checks the lease of a side and sends a heartbeat when it is due.
void chain_session::tick(side &one, std::uint64_t session)
{
    if (!one.isOpen || one.session != session) {
        return;
    }
    const session_state state = one.monitor.check(m_timeline.now());
    if (state == session_state::expired) {
        close(one, true);
        return;
    }
    if (state == session_state::heartbeatDue || (&one == &m_agent && m_timeline.now() - m_calledAt >= Heartbeat)) {
        sendHeartbeat(one);
    }
    one.process.wake(process_lane::rpc, Tick, [this, &one, session] {
        tick(one, session);
    });
}

void chain_session::closeAtAgent()
{
    close(m_agent, true);
}

void chain_session::processKilled(bool isEntry, bool isReset)
{
    side &killed = isEntry ? m_entry : m_agent;
    const bool wasOpen = std::exchange(killed.isOpen, false);
    killed.incoming.clear();
    if (wasOpen && isReset && !isCut(peerOf(killed))) {
        sendReset(peerOf(killed), killed.session);
    }
}

void chain_session::reset()
{
    for (side *one : {&m_entry, &m_agent}) {
        sendReset(*one, one->session);
    }
}

void chain_session::resetAtEntry()
{
    resetOnly(m_entry);
}

void chain_session::resetAtAgent()
{
    resetOnly(m_agent);
}

// The kernel knows of the reset at once, the process when its RPC thread reads it.
void chain_session::resetOnly(side &one)
{
    if (one.isOpen) {
        one.resetSession = one.session;
        sendReset(one, one.session);
    }
}

void chain_session::cut(mono_time until)
{
    cutToAgent(until);
    cutToEntry(until);
}

void chain_session::cutToAgent(mono_time until)
{
    m_agent.cutUntil = std::max(m_agent.cutUntil, until);
}

void chain_session::cutToEntry(mono_time until)
{
    m_entry.cutUntil = std::max(m_entry.cutUntil, until);
}

} // namespace teaselward
