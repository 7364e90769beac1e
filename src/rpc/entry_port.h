#pragma once

#include "rpc/entry_rpc_context.h"
#include "rpc/peer_session.h"
#include "rpc/wire.capnp.h"

#include <cstddef>
#include <memory>

namespace teaselward
{

/** Capability through which another entry calls this one. */
class entry_port : public wire::EntryPort::Server
{
public:
    /**
     * Creates the capability of one session.
     * @param context state that all sessions share
     * @param session the session; calls fail once it is gone
     */
    entry_port(entry_rpc_context &context, std::weak_ptr<peer_session> session);

    kj::Promise<void> ping(PingContext call) override;
    kj::Promise<void> submit(SubmitContext call) override;
    kj::Promise<void> query(QueryContext call) override;
    kj::Promise<void> cancel(CancelContext call) override;
    kj::Promise<void> exchange(ExchangeContext call) override;
    kj::Promise<void> snapshot(SnapshotContext call) override;
    kj::Promise<void> evacuate(EvacuateContext call) override;

private:
    bool isHomeOf(const ticket &source) const;
    template<typename C, typename F>
    kj::Promise<void> await(C call, F &&makeEvent);

    entry_rpc_context &m_context;
    std::weak_ptr<peer_session> m_session;
    std::size_t m_calls = 0; // Calls in progress.
};

} // namespace teaselward
