#pragma once

#include "rpc/agent_session.h"
#include "rpc/entry_rpc_context.h"
#include "rpc/wire.capnp.h"

#include <memory>

namespace teaselward
{

/** Capability through which a registered agent calls an entry. */
class agent_session_port : public wire::AgentSession::Server
{
public:
    /**
     * Creates the capability of one session.
     * @param context state that all sessions share
     * @param session the session; calls fail once it is gone
     */
    agent_session_port(entry_rpc_context &context, std::weak_ptr<agent_session> session);

    kj::Promise<void> ping(PingContext call) override;
    kj::Promise<void> credits(CreditsContext call) override;
    kj::Promise<void> leaving(LeavingContext call) override;
    kj::Promise<void> snapshot(SnapshotContext call) override;
    kj::Promise<void> crashed(CrashedContext call) override;
    kj::Promise<void> evacuate(EvacuateContext call) override;
    kj::Promise<void> interference(InterferenceContext call) override;

private:
    agent_id currentAgent() const;

    entry_rpc_context &m_context;
    std::weak_ptr<agent_session> m_session;
};

} // namespace teaselward
