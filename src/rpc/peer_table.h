#pragma once

#include "core/entry_id.h"
#include "rpc/entry_rpc_context.h"

#include <string>
#include <vector>

namespace teaselward
{

class peer_session;

/**
 * Connected peers, the other entries. Two entries can have several sessions with each other, because either side may connect.
 * A peer joins with its first session and is lost with its last one.
 */
class peer_table
{
public:
    /** @param context state that all sessions share; the constructor only stores the reference */
    explicit peer_table(entry_rpc_context &context);

    /**
     * Adds a session. It is preferred to older sessions with the same entry.
     * @param session the session
     */
    void join(peer_session &session);

    /**
     * Removes a lost session.
     * @param session the session
     */
    void remove(peer_session &session);

    /**
     * Finds the newest session with the entry at an address.
     * @param address IP:PORT as the other entry announces it
     * @return the session, or null
     */
    peer_session *find(const std::string &address) const;

    /** @return newest session of each entry */
    std::vector<peer_session *> newest() const;

private:
    std::vector<peer_session *> sessionsOf(const entry_id &entry) const;

    entry_rpc_context &m_context;
    std::vector<peer_session *> m_sessions; // From the oldest to the newest.
};

} // namespace teaselward
