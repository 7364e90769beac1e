#pragma once

#include "base/clock.h"
#include "chain/seeded_random.h"
#include "chain/session_events.h"
#include "chain/session_side.h"
#include "chain/simulated_process.h"
#include "chain/virtual_timeline.h"

#include <cstdint>
#include <functional>

namespace teaselward
{

/**
 * Session between an entry and an agent over a connection that can be cut in one or both directions. The heartbeats and leases of both
 * sides are those of session_monitor, with the times of the users' platform. Messages arrive in order. While the connection is cut they
 * wait; they are lost if either side closes the session meanwhile.
 */
class chain_session
{
public:
    /**
     * Creates a closed session.
     * @param timeline time of the simulation; must outlive the session
     * @param random decisions of the simulation; must outlive the session
     * @param entry process of the entry; must outlive the session
     * @param agent process of the agent; must outlive the session
     * @param events receivers of changes
     */
    chain_session(virtual_timeline &timeline, seeded_random &random, simulated_process &entry, simulated_process &agent, session_events events);

    /** Registers the agent at the entry, if both can be reached. The entry closes an older session first. */
    void dial();

    /**
     * Sends a message to the agent. It is lost if the session is closed at the entry.
     * @param deliver called on the agent's RPC thread
     */
    void sendToAgent(std::function<void()> deliver);

    /**
     * Sends a message to the entry. It is lost if the session is closed at the agent.
     * @param deliver called on the entry's RPC thread
     */
    void sendToEntry(std::function<void()> deliver);

    /** Closes the session at the agent. */
    void closeAtAgent();

    /**
     * Ends the side of a process that was killed.
     * @param isEntry whether the entry was killed
     * @param isReset whether the other side gets a reset; a machine that loses its power sends none
     */
    void processKilled(bool isEntry, bool isReset);

    /** Resets the connection; both sides see it. */
    void reset();

    /** Resets the connection at the entry only. The agent learns of it by the answer to its next message, or by its lease. */
    void resetAtEntry();

    /** Resets the connection at the agent only. The entry learns of it by the answer to its next message, or by its lease. */
    void resetAtAgent();

    /**
     * Cuts the connection in both directions.
     * @param until end of the cut
     */
    void cut(mono_time until);

    /**
     * Cuts the connection from the entry to the agent.
     * @param until end of the cut
     */
    void cutToAgent(mono_time until);

    /**
     * Cuts the connection from the agent to the entry.
     * @param until end of the cut
     */
    void cutToEntry(mono_time until);

    /** @return whether the session is open at the entry */
    bool isOpenAtEntry() const;

    /** @return whether the session is open at the agent */
    bool isOpenAtAgent() const;

private:
    using side = detail::session_side;

    void open(side &one, std::uint64_t session);
    void close(side &one, bool notifiesPeer);
    void send(side &from, side &to, bool isWelcome, std::function<void()> deliver);
    void pump(side &to);
    void receive(side &to, const detail::session_message &one);
    void sendHeartbeat(side &one);
    void tick(side &one, std::uint64_t session);
    void sendReset(side &to, std::uint64_t session);
    void resetOnly(side &one);
    side &peerOf(side &one);
    bool isCut(const side &to) const;
    bool isAnyCut() const;

    virtual_timeline &m_timeline;
    seeded_random &m_random;
    side m_entry;
    side m_agent;
    std::function<void(mono_time sentAt)> m_confirmed;
    std::uint64_t m_sessions = 0;
    mono_time m_registrationSentAt{}; ///< Of the latest session at the agent.
    mono_time m_calledAt{}; ///< Time of the agent's latest call whose answer confirms the session.
};

} // namespace teaselward
