#include "rpc/peer_table.h"

#include "rpc/agent_session.h"
#include "rpc/forwarder.h"
#include "rpc/peer_session.h"
#include "rpc/rpc_limits.h"

#include <absl/container/flat_hash_set.h>

#include <algorithm>

namespace teaselward
{

peer_table::peer_table(entry_rpc_context &context)
    : m_context(context)
{
}

// Agents are told of a new entry at once, so that it gets its share of their slots soon after its start.
void peer_table::join(peer_session &session)
{
    const entry_info info = *session.peer();
    const std::vector<peer_session *> others = sessionsOf(info.id);
    m_sessions.push_back(&session);
    m_context.directory.learn(session.address(), mono_clock::now());
    m_context.directory.setConnected(session.address(), info.id);
    if (others.empty()) {
        m_context.events.push(peer_joined{info});
        for (const auto &[id, agent] : m_context.agents) {
            agent->sendEntries({info.address});
        }
    } else if (others.size() >= MaxPeerLinks) {
        m_context.links.close(others.front()->link(), "too many sessions of one entry");
    }
    m_context.requestForwarder.handleJoined(session);
}

void peer_table::remove(peer_session &session)
{
    std::erase(m_sessions, &session);
    const bool isAddressGone = std::none_of(m_sessions.begin(), m_sessions.end(), [&session](const peer_session *other) {
        return other->address() == session.address();
    });
    if (isAddressGone) {
        m_context.directory.setLost(session.address(), mono_clock::now());
    }
    if (sessionsOf(session.peer()->id).empty()) {
        m_context.events.push(peer_lost{session.peer()->id});
    }
}

peer_session *peer_table::find(const std::string &address) const
{
    const auto found = std::find_if(m_sessions.rbegin(), m_sessions.rend(), [&address](const peer_session *session) {
        return session->peer()->address == address;
    });
    return found != m_sessions.rend() ? *found : nullptr;
}

std::vector<peer_session *> peer_table::newest() const
{
    absl::flat_hash_set<entry_id> seen;
    std::vector<peer_session *> sessions;
    for (auto session = m_sessions.rbegin(); session != m_sessions.rend(); ++session) {
        if (seen.insert((*session)->peer()->id).second) {
            sessions.push_back(*session);
        }
    }
    return sessions;
}

std::vector<peer_session *> peer_table::sessionsOf(const entry_id &entry) const
{
    std::vector<peer_session *> sessions;
    std::copy_if(m_sessions.begin(), m_sessions.end(), std::back_inserter(sessions), [&entry](const peer_session *session) {
        return session->peer()->id == entry;
    });
    return sessions;
}

} // namespace teaselward
