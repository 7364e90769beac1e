#pragma once

#include "base/clock.h"
#include "job/entry_action.h"
#include "rpc/entry_rpc_context.h"

#include <deque>
#include <string>

namespace teaselward
{

class peer_session;

/** Sends requests to the home entries of their tickets, and holds requests until their home entry is connected. */
class forwarder
{
public:
    /** @param context state that all sessions share; the constructor only stores the reference */
    explicit forwarder(entry_rpc_context &context);

    /**
     * Sends a request to its home entry. Raises forward_answered once it is answered or cannot be delivered.
     * @param action forward_job, forward_query or forward_cancel
     */
    void forward(entry_action &&action);

    /**
     * Sends the requests that wait for an entry.
     * @param session new session with the entry
     */
    void handleJoined(peer_session &session);

    /**
     * Fails the requests that wait for an entry.
     * @param address address that could not be reached
     */
    void handleUnreachable(const std::string &address);

    /**
     * Fails the requests that have waited too long.
     * @param now current time
     */
    void check(mono_time now);

private:
    struct waiting {
        mono_time until;
        std::string home;
        entry_action action;
    };

    void send(peer_session &session, const entry_action &action);
    void fail(const entry_action &action);

    entry_rpc_context &m_context;
    std::deque<waiting> m_waiting; // In the order of their deadlines, because all have the same timeout.
};

} // namespace teaselward
