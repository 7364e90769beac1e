#pragma once

#include "base/clock.h"
#include "core/crash_suspect.h"
#include "core/evacuation_state.h"
#include "core/kind_pair.h"
#include "rpc/agent_rpc_context.h"
#include "rpc/link_user.h"
#include "rpc/welcome.h"
#include "rpc/wire.capnp.h"

#include <kj/async.h>

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace teaselward
{

/** Session of an agent with one entry, from the connection to its loss. */
class entry_session : public link_user, private kj::TaskSet::ErrorHandler
{
public:
    /**
     * Creates a session that is not registered yet.
     * @param context state that all sessions share
     * @param address address that was connected
     * @param link number of the connection
     */
    entry_session(agent_rpc_context &context, std::string address, std::uint64_t link);

    /**
     * Sends the registration.
     * @param gate bootstrap capability of the entry
     * @param agent capability through which the entry calls this agent
     */
    void registerAt(wire::EntryGate::Client gate, wire::AgentPort::Client agent);

    /** @return announcement of the entry, or nothing before the registration is answered */
    const std::optional<entry_info> &entry() const;

    /** @return promise that resolves when the registration is answered */
    kj::Promise<void> whenRegistered();

    /** @return number of the connection */
    std::uint64_t link() const;

    /** @return address that was connected */
    const std::string &address() const;

    /** @return number of calls of the entry that are in progress; it outlives the session as long as a call needs it */
    const std::shared_ptr<std::size_t> &calls() const;

    /**
     * Tells the entry to send no new tasks because the session is to be closed.
     * @param now current time
     */
    void retire(mono_time now);

    /**
     * Returns whether the session can be closed: it is retired, no call is in progress, and none can arrive any more.
     * @param now current time
     */
    bool isRetired(mono_time now) const;

    /**
     * Sends a change of the entry's credits.
     * @param delta credits granted; negative if credits are recalled
     */
    void sendCredits(std::int32_t delta);

    /** Notifies the entry that the agent accepts no new tasks. */
    void sendLeaving();

    /**
     * Notifies the entry that the endpoint has crashed.
     * @param suspects kinds whose tasks were running
     */
    void sendCrashed(const std::vector<crash_suspect> &suspects);

    /**
     * Sends the state of the evacuations to the entry.
     * @param state the state
     */
    void sendEvacuations(const evacuation_state &state);

    /**
     * Sends which kinds slow each other at the endpoint.
     * @param pairs all pairs; they replace the former report
     */
    void sendInterference(const std::vector<kind_pair> &pairs);

    /**
     * Fetches the entry's copy of the configuration if it is newer than the local ones.
     * @param offset offset in the platform log up to which the copy is complete
     */
    void fetchSnapshotIfNewer(std::uint64_t offset);

    void sendPing() override;
    bool needsAnswer(mono_time now) const override;
    void handleLost() override;

private:
    void handleWelcome(const welcome &answer, wire::AgentSession::Client remote);
    template<typename Request>
    void call(Request &&request);
    void confirm(mono_time sentAt);
    void taskFailed(kj::Exception &&exception) override;

    agent_rpc_context &m_context;
    std::string m_address;
    std::uint64_t m_link;
    std::optional<entry_info> m_entry;
    bool m_isFetching = false;
    mono_time m_registrationSentAt{};
    mono_time m_calledAt{}; ///< Time of the latest call whose answer confirms the session.
    std::optional<mono_time> m_retiredAt;
    std::shared_ptr<std::size_t> m_calls = std::make_shared<std::size_t>(0);
    wire::AgentSession::Client m_remote;
    kj::Own<kj::PromiseFulfiller<void>> m_registered;
    kj::ForkedPromise<void> m_whenRegistered;
    kj::TaskSet m_tasks;
};

} // namespace teaselward
