#include "rpc/forwarder.h"

#include "rpc/body_size.h"
#include "rpc/dialer.h"
#include "rpc/peer_session.h"
#include "rpc/peer_table.h"
#include "rpc/rpc_limits.h"

#include <utility>

namespace teaselward
{

namespace
{

// Maximum number of requests that wait for connections; further ones fail as if their home could not be reached.
constexpr std::size_t MaxWaitingRequests = 4096;

const ticket &sourceOf(const forward_job &action)
{
    return action.job.source;
}

const ticket &sourceOf(const forward_query &action)
{
    return action.source;
}

const ticket &sourceOf(const forward_cancel &action)
{
    return action.source;
}

bool fitsMessage(const forward_job &action)
{
    return bodySize(action.job.payloads) <= MaxMessageBodyBytes;
}

template<typename T>
bool fitsMessage(const T & /*action*/)
{
    return true;
}

// Calls a function with the forward_job, forward_query or forward_cancel that an action holds.
template<typename F>
void withForward(const entry_action &action, F &&function)
{
    if (const auto *job = std::get_if<forward_job>(&action)) {
        function(*job);
    } else if (const auto *query = std::get_if<forward_query>(&action)) {
        function(*query);
    } else if (const auto *cancel = std::get_if<forward_cancel>(&action)) {
        function(*cancel);
    }
}

} // namespace

forwarder::forwarder(entry_rpc_context &context)
    : m_context(context)
{
}

void forwarder::forward(entry_action &&action)
{
    std::string home;
    withForward(action, [&home](const auto &forward) {
        home = sourceOf(forward).home;
    });
    if (peer_session *session = m_context.peers.find(home)) {
        send(*session, action);
        return;
    }
    const mono_time now = mono_clock::now();
    if (m_waiting.size() >= MaxWaitingRequests || !m_context.directory.learn(home, now)) {
        fail(action);
        return;
    }
    m_context.directory.retryNow(home, now);
    m_waiting.push_back({now + m_context.settings.forwardConnect, std::move(home), std::move(action)});
    m_context.entryDialer.dial(now);
}

// A newer incarnation at the home's address does not know the ticket, so nothing is sent to it.
void forwarder::send(peer_session &session, const entry_action &action)
{
    withForward(action, [this, &session](const auto &forward) {
        if (sourceOf(forward).id.incarnation != session.peer()->id.value) {
            m_context.events.push(forward_answered{forward.request, true, true, {}});
        } else if (!fitsMessage(forward)) {
            job_answer answer;
            answer.why = reason::tooLarge;
            m_context.events.push(forward_answered{forward.request, true, false, std::move(answer)});
        } else {
            session.send(forward);
        }
    });
}

void forwarder::fail(const entry_action &action)
{
    withForward(action, [this](const auto &forward) {
        m_context.events.push(forward_answered{forward.request, false, false, {}});
    });
}

void forwarder::handleJoined(peer_session &session)
{
    std::deque<waiting> others;
    for (waiting &item : std::exchange(m_waiting, {})) {
        if (item.home == session.peer()->address) {
            send(session, item.action);
        } else {
            others.push_back(std::move(item));
        }
    }
    m_waiting = std::move(others);
}

void forwarder::handleUnreachable(const std::string &address)
{
    std::deque<waiting> others;
    for (waiting &item : std::exchange(m_waiting, {})) {
        if (item.home == address) {
            fail(item.action);
        } else {
            others.push_back(std::move(item));
        }
    }
    m_waiting = std::move(others);
}

void forwarder::check(mono_time now)
{
    while (!m_waiting.empty() && m_waiting.front().until <= now) {
        const waiting item = std::move(m_waiting.front());
        m_waiting.pop_front();
        fail(item.action);
    }
}

} // namespace teaselward
