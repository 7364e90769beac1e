#include "rpc/rpc_link.h"

#include "rpc/rpc_limits.h"

#include <capnp/message.h>

#include <utility>

namespace teaselward
{

namespace
{

// Limits the memory that a message of a peer can make this process allocate.
capnp::ReaderOptions readerOptions()
{
    capnp::ReaderOptions options;
    options.traversalLimitInWords = MaxMessageWords;
    options.nestingLimit = MaxMessageDepth;
    return options;
}

} // namespace

rpc_link::rpc_link(std::uint64_t number, kj::Own<kj::AsyncIoStream> stream, const session_monitor &monitor, traffic_counter &traffic, link_side side)
    : m_number(number)
    , m_monitor(monitor)
    , m_stream(std::move(stream), m_monitor, traffic)
    , m_network(m_stream, side == link_side::accepted ? capnp::rpc::twoparty::Side::SERVER : capnp::rpc::twoparty::Side::CLIENT, readerOptions())
{
}

void rpc_link::serve(capnp::Capability::Client bootstrap)
{
    m_system = capnp::makeRpcServer(m_network, std::move(bootstrap));
}

capnp::Capability::Client rpc_link::connect()
{
    auto &system = m_system.emplace(capnp::makeRpcClient(m_network));
    capnp::MallocMessageBuilder message;
    auto vat = message.initRoot<capnp::rpc::twoparty::VatId>();
    vat.setSide(capnp::rpc::twoparty::Side::SERVER);
    return system.bootstrap(vat);
}

kj::Promise<void> rpc_link::onDisconnect()
{
    return m_network.onDisconnect();
}

std::size_t rpc_link::queuedBytes()
{
    return m_network.getCurrentQueueSize();
}

void rpc_link::finishSending()
{
    m_stream.shutdownWrite();
}

void rpc_link::setUser(std::shared_ptr<link_user> user)
{
    m_user = std::move(user);
}

const std::shared_ptr<link_user> &rpc_link::user() const
{
    return m_user;
}

void rpc_link::setRegistered()
{
    m_isRegistered = true;
}

bool rpc_link::isRegistered() const
{
    return m_isRegistered;
}

std::uint64_t rpc_link::number() const
{
    return m_number;
}

session_monitor &rpc_link::monitor()
{
    return m_monitor;
}

} // namespace teaselward
