#pragma once

#include "core/evacuation_state.h"
#include "job/action/forward_cancel.h"
#include "job/action/forward_job.h"
#include "job/action/forward_query.h"
#include "rpc/entry_rpc_context.h"
#include "rpc/link_user.h"
#include "rpc/welcome.h"
#include "rpc/wire.capnp.h"

#include <kj/async.h>

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace teaselward
{

/** Session of an entry with another entry; either side may have opened the connection. */
class peer_session : public link_user, private kj::TaskSet::ErrorHandler
{
public:
    /**
     * Creates a session that does not know the other entry yet.
     * @param context state that all sessions share
     * @param link number of the connection
     * @param address address that this process connected to; empty if the other side connected
     */
    peer_session(entry_rpc_context &context, std::uint64_t link, std::string address);

    /**
     * Sends the greeting.
     * @param gate bootstrap capability of the other entry
     * @param own capability through which the other entry calls this one
     */
    void greet(wire::EntryGate::Client gate, wire::EntryPort::Client own);

    /**
     * Adds the session to the table of peers, once the other entry is known.
     * @param peer announcement of the other entry
     * @param port its capability
     */
    void join(const entry_info &peer, wire::EntryPort::Client port);

    /** @return announcement of the other entry, or nothing before the greeting is answered */
    const std::optional<entry_info> &peer() const;

    /** @return address by which the directory knows the other entry */
    const std::string &address() const;

    /** @return number of the connection */
    std::uint64_t link() const;

    /**
     * Sends a request. Raises forward_answered once, also if the session is lost before the answer.
     * @param action request to send
     */
    void send(const forward_job &action);
    void send(const forward_query &action);
    void send(const forward_cancel &action);

    /**
     * Sends a report of the quota usage, unless the previous report has not been answered yet.
     * @param usage usage of each team
     */
    void exchange(const std::vector<team_usage> &usage);

    /**
     * Returns the connected entries if they have changed since the last call, so that reports between many entries stay short.
     * @return their addresses; empty if the other entry has been told of them
     */
    std::vector<std::string> takeNewEntries();

    /**
     * Fetches the other entry's copy of the configuration if it is newer than the local ones.
     * @param offset offset in the platform log up to which the copy is complete
     */
    void fetchSnapshotIfNewer(std::uint64_t offset);

    /**
     * Sends the state of the evacuations to the other entry.
     * @param state the state
     */
    void sendEvacuations(const evacuation_state &state);

    /**
     * Passes a state that the other entry has sent to the decision thread, as soon as the other entry is known.
     * @param state the state
     */
    void receiveEvacuations(evacuation_state state);

    void sendPing() override;
    void handleLost() override;

private:
    void handleWelcome(const welcome &answer, wire::EntryPort::Client port);
    template<typename R>
    void await(const request_id &request, R &&call);
    void answer(std::uint64_t number, forward_answered &&event);
    void taskFailed(kj::Exception &&exception) override;

    entry_rpc_context &m_context;
    std::uint64_t m_link;
    std::string m_address;
    bool m_isDialed;
    std::optional<entry_info> m_peer;
    wire::EntryPort::Client m_port;
    bool m_isExchanging = false;
    std::vector<std::string> m_reportedEntries; // Addresses that the other entry was last told.
    std::optional<evacuation_state> m_earlyEvacuations; // Received before the greeting was answered.
    bool m_isFetching = false;
    std::uint64_t m_lastCall = 0;
    std::map<std::uint64_t, request_id> m_pendingForwards; // Requests that have no answer yet.
    kj::TaskSet m_calls;
};

} // namespace teaselward
