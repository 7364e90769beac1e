#pragma once

#include "member/session_monitor.h"
#include "rpc/link_side.h"
#include "rpc/link_user.h"
#include "rpc/monitored_stream.h"
#include "rpc/traffic_counter.h"

#include <capnp/rpc-twoparty.h>
#include <kj/async-io.h>

#include <cstdint>
#include <memory>

namespace teaselward
{

/** One TCP connection with its RPC system and its lease. Only the thread of the event loop uses it. */
class rpc_link
{
public:
    /**
     * Takes ownership of a connection; nothing is read before serve() or connect() is called.
     * @param number identifies the connection within the process
     * @param stream the connection
     * @param monitor monitor of the session's lease
     * @param traffic byte counter of the adapter; it must outlive the link
     * @param side how the connection was opened
     */
    rpc_link(std::uint64_t number, kj::Own<kj::AsyncIoStream> stream, const session_monitor &monitor, traffic_counter &traffic, link_side side);

    rpc_link(const rpc_link &) = delete;
    rpc_link &operator=(const rpc_link &) = delete;

    /**
     * Starts the RPC system as the accepting side.
     * @param bootstrap capability that the other side gets first
     */
    void serve(capnp::Capability::Client bootstrap);

    /**
     * Starts the RPC system as the connecting side.
     * @return bootstrap capability of the other side
     */
    capnp::Capability::Client connect();

    /** @return promise that resolves when the connection has ended */
    kj::Promise<void> onDisconnect();

    /** @return bytes that are queued for sending */
    std::size_t queuedBytes();

    /** Shuts down the sending direction, so that the other side closes the connection after it has read everything. */
    void finishSending();

    /** @param user session that uses the connection */
    void setUser(std::shared_ptr<link_user> user);

    /** @return session that uses the connection, or null */
    const std::shared_ptr<link_user> &user() const;

    /** Records that the first message was accepted; the limits of unregistered connections no longer apply. */
    void setRegistered();

    /** @return whether the first message was accepted */
    bool isRegistered() const;

    /** @return number that identifies the connection within the process */
    std::uint64_t number() const;

    /** @return lease of the session */
    session_monitor &monitor();

private:
    // Members are destroyed in reverse order: the session holds capabilities of the RPC system, which uses the network.
    std::uint64_t m_number;
    bool m_isRegistered = false;
    session_monitor m_monitor;
    monitored_stream m_stream;
    capnp::TwoPartyVatNetwork m_network;
    kj::Maybe<capnp::RpcSystem<capnp::rpc::twoparty::VatId>> m_system;
    std::shared_ptr<link_user> m_user;
};

} // namespace teaselward
