#pragma once

#include "core/agent_info.h"
#include "core/start_order.h"
#include "rpc/entry_rpc_context.h"
#include "rpc/link_user.h"
#include "rpc/wire.capnp.h"

#include <kj/async.h>

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace teaselward
{

/** Session of an entry with one registered agent. */
class agent_session : public link_user, private kj::TaskSet::ErrorHandler
{
public:
    /**
     * Creates a session.
     * @param context what the sessions share
     * @param link number of the connection
     * @param info announcement of the agent
     * @param port capability of the agent
     */
    agent_session(entry_rpc_context &context, std::uint64_t link, agent_info info, wire::AgentPort::Client port);

    /** Replaces an older session of the same incarnation and reports the agent. */
    void join();

    /** @return announcement of the agent */
    const agent_info &info() const;

    /** @return number of the connection */
    std::uint64_t link() const;

    /** Raises task_finished, or start_unanswered if the call ends without an answer. @param order the order */
    void start(const start_order &order);

    /** Raises task_revoked, or nothing if the call ends without an answer; the decisions ask again. @param id the task */
    void revoke(const task_id &id);

    /** Asks the agent to end a run; the answer to its start tells when it has ended. @param id the task */
    void stop(const task_id &id);

    /** Raises ticket_fenced. @param ticket the ticket */
    void fence(const ticket_id &ticket);

    /** @param queued tasks that wait at this entry */
    void sendDemand(std::uint32_t queued);

    /** @param addresses addresses of entries that are connected */
    void sendEntries(const std::vector<std::string> &addresses);

    void sendPing() override;
    void handleLost() override;

private:
    void failStart(std::uint64_t number);
    void taskFailed(kj::Exception &&exception) override;

    entry_rpc_context &m_context;
    std::uint64_t m_link;
    agent_info m_info;
    wire::AgentPort::Client m_port;
    bool m_isLost = false;
    std::uint64_t m_lastCall = 0;
    std::map<std::uint64_t, task_id> m_pendingStarts; // Starts that have no answer yet.
    std::map<std::uint64_t, ticket_id> m_pendingFences;
    kj::TaskSet m_calls;
};

} // namespace teaselward
