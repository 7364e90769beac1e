#pragma once

#include "base/clock.h"
#include "job/entry_action.h"
#include "rpc/entry_rpc_context.h"

#include <deque>
#include <string>

namespace teaselward
{

class peer_session;

/** Sends requests to the home entries of their tickets, and keeps those whose home is being connected. */
class forwarder
{
public:
    /** @param context what the sessions share; it is used after the construction only */
    explicit forwarder(entry_rpc_context &context);

    /** Raises forward_answered sooner or later. @param action forward_job, forward_query or forward_cancel */
    void forward(entry_action &&action);

    /** Sends the requests that waited for an entry. @param session new session with the entry */
    void handleJoined(peer_session &session);

    /** Gives up the requests that waited for an entry. @param address address that could not be reached */
    void handleUnreachable(const std::string &address);

    /** Gives up the requests that waited too long. @param now present time */
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
    std::deque<waiting> m_waiting; // In the order of their ends, since all wait equally long.
};

} // namespace teaselward
