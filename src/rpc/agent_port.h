#pragma once

#include "rpc/agent_rpc_context.h"
#include "rpc/entry_session.h"
#include "rpc/wire.capnp.h"

#include <cstddef>
#include <memory>

namespace teaselward
{

/** Capability through which an entry calls an agent. It turns the calls into events and answers them from the core's actions. */
class agent_port : public wire::AgentPort::Server
{
public:
    /**
     * Creates the capability of one session.
     * @param context state that all sessions share
     * @param session the session; calls fail once it is gone
     */
    agent_port(agent_rpc_context &context, std::weak_ptr<entry_session> session);

    kj::Promise<void> ping(PingContext call) override;
    kj::Promise<void> start(StartContext call) override;
    kj::Promise<void> revoke(RevokeContext call) override;
    kj::Promise<void> fence(FenceContext call) override;
    kj::Promise<void> demand(DemandContext call) override;
    kj::Promise<void> stop(StopContext call) override;
    kj::Promise<void> entries(EntriesContext call) override;
    kj::Promise<void> evacuate(EvacuateContext call) override;

private:
    std::shared_ptr<entry_session> session() const;
    entry_id caller() const;
    std::shared_ptr<std::size_t> beginCall();
    template<typename F>
    kj::Promise<void> afterRegistration(F &&handle);

    agent_rpc_context &m_context;
    std::weak_ptr<entry_session> m_session;
};

} // namespace teaselward
