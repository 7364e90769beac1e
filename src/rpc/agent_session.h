#pragma once

#include "core/agent_info.h"
#include "core/evacuation_state.h"
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
     * @param context state that all sessions share
     * @param link number of the connection
     * @param info announcement of the agent
     * @param port capability of the agent
     */
    agent_session(entry_rpc_context &context, std::uint64_t link, agent_info info, wire::AgentPort::Client port);

    /** Closes an older session of the same incarnation, if there is one, and raises agent_joined. */
    void join();

    /** @return announcement of the agent */
    const agent_info &info() const;

    /** @return number of the connection */
    std::uint64_t link() const;

    /**
     * Sends a start. Raises task_finished, or start_unanswered if the call ends without an answer.
     * @param order task to start
     */
    void start(const start_order &order);

    /**
     * Sends a revocation. Raises task_revoked, or nothing if the call ends without an answer, after which the core repeats it.
     * @param id the task
     */
    void revoke(const task_id &id);

    /**
     * Asks the agent to end a run. The answer to the task's start reports its end.
     * @param id the task
     */
    void stop(const task_id &id);

    /**
     * Sends a fence. Raises ticket_fenced, also if the call ends without an answer.
     * @param ticket the ticket
     */
    void fence(const ticket_id &ticket);

    /**
     * Reports the length of this entry's queue to the agent.
     * @param queued tasks that wait at this entry
     */
    void sendDemand(std::uint32_t queued);

    /**
     * Sends the agent the addresses of entries to connect to.
     * @param addresses addresses as IP:PORT
     */
    void sendEntries(const std::vector<std::string> &addresses);

    /**
     * Sends the state of the evacuations to the agent.
     * @param state the state
     */
    void sendEvacuations(const evacuation_state &state);

    /**
     * Converts a run time factor that the agent has sent. Logs the first one that is out of range.
     * @param value the factor on the wire
     * @return the factor in its range; zero if it is unknown or not usable
     */
    double readFactor(double value);

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
    bool m_hasBadFactor = false;
    std::uint64_t m_lastCall = 0;
    std::map<std::uint64_t, task_id> m_pendingStarts; // Starts that have no answer yet.
    std::map<std::uint64_t, ticket_id> m_pendingFences;
    kj::TaskSet m_calls;
};

} // namespace teaselward
