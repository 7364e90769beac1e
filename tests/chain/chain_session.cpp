#include "chain/chain_session.h"

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
    , m_entry{.process = entry, .joined = std::move(events.agentJoined), .lost = std::move(events.agentLost), .incoming = {}}
    , m_agent{.process = agent, .joined = std::move(events.entryJoined), .lost = std::move(events.entryLost), .incoming = {}}
{
}

bool chain_session::isCut() const
{
    return m_cutUntil > m_timeline.now();
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
    if (isCut()) {
        return;
    }
    m_entry.process.post(process_lane::rpc, m_random.between(MinDelay, MaxDelay), [this] {
        if (isCut()) {
            return;
        }
        close(m_entry, false);
        open(m_entry, ++m_sessions);
        send(m_entry, m_agent, true, [this, session = m_sessions] {
            open(m_agent, session);
        });
    });
}

void chain_session::open(side &one, std::uint64_t session)
{
    one.isOpen = true;
    one.session = session;
    one.heard = m_timeline.now();
    one.sent = m_timeline.now();
    one.joined();
    tick(one, session);
}

// Closes one side. The other side gets a reset, unless the connection is cut.
void chain_session::close(side &one, bool notifiesPeer)
{
    if (!one.isOpen) {
        return;
    }
    one.isOpen = false;
    one.lost();
    if (notifiesPeer && !isCut()) {
        side &peer = peerOf(one);
        peer.process.post(process_lane::rpc, m_random.between(MinDelay, MaxDelay), [this, &peer, session = one.session] {
            if (peer.isOpen && peer.session == session) {
                close(peer, false);
            }
        });
    }
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
    from.sent = m_timeline.now();
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
    if (isCut() && !to.incoming.empty()) {
        m_timeline.at(m_cutUntil + m_random.between(0us, MaxRetransmissionDelay), [this, &to] {
            pump(to);
        });
        return;
    }
    while (!to.incoming.empty() && to.incoming.front().due <= m_timeline.now()) {
        to.process.post(process_lane::rpc, 0us, [this, &to, one = std::move(to.incoming.front())] {
            receive(to, one);
        });
        to.incoming.pop_front();
    }
}

void chain_session::receive(side &to, const message &one)
{
    const bool isNewest = one.session == m_sessions;
    if (one.isWelcome ? !isNewest : (!to.isOpen || to.session != one.session)) {
        return;
    }
    if (one.isWelcome) {
        close(to, false);
    }
    to.heard = m_timeline.now();
    one.deliver();
}

// Checks the lease of a side and sends a heartbeat when it is due.
void chain_session::tick(side &one, std::uint64_t session)
{
    if (!one.isOpen || one.session != session) {
        return;
    }
    if (m_timeline.now() - one.heard > Lease) {
        close(one, true);
        return;
    }
    if (m_timeline.now() - one.sent >= Heartbeat) {
        send(one, peerOf(one), false, [] {});
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
    if (wasOpen && isReset && !isCut()) {
        side &peer = peerOf(killed);
        peer.process.post(process_lane::rpc, m_random.between(MinDelay, MaxDelay), [this, &peer, session = killed.session] {
            if (peer.isOpen && peer.session == session) {
                close(peer, false);
            }
        });
    }
}

void chain_session::reset()
{
    for (side *one : {&m_entry, &m_agent}) {
        one->process.post(process_lane::rpc, m_random.between(MinDelay, MaxDelay), [this, one, session = one->session] {
            if (one->isOpen && one->session == session) {
                close(*one, false);
            }
        });
    }
}

void chain_session::cut(mono_time until)
{
    m_cutUntil = std::max(m_cutUntil, until);
}

} // namespace teaselward
