#include "rpc/entry_gate.h"

#include "rpc/agent_session.h"
#include "rpc/agent_session_port.h"
#include "rpc/entry_port.h"
#include "rpc/info_codec.h"
#include "rpc/peer_session.h"
#include "rpc/rpc_limits.h"
#include "rpc/snapshot_source.h"
#include "rpc/text_codec.h"
#include "rpc/welcome_codec.h"

#include <kj/debug.h>

#include <memory>
#include <string>
#include <utility>

namespace teaselward
{

entry_gate::entry_gate(entry_rpc_context &context, std::uint64_t link)
    : m_context(context)
    , m_link(link)
{
}

rpc_link &entry_gate::unregisteredLink() const
{
    rpc_link *link = m_context.links.find(m_link);
    KJ_REQUIRE(link != nullptr && !link->isRegistered(), "the connection has a session already");
    return *link;
}

// Refuses another protocol version. The connection is closed after a delay, so that the answer is sent first.
bool entry_gate::checkVersion(std::uint32_t version, std::string_view from, const std::string &address)
{
    if (version == ProtocolVersion) {
        return true;
    }
    m_context.log.write(log_part::rpc,
                        "Connection refused. reason=version_mismatch from=" + std::string(from) + " address=" + address + " version=" + std::to_string(version)
                            + " own=" + std::to_string(ProtocolVersion));
    m_context.links.closeAfter(m_link, RefusalDelay, "version mismatch");
    return false;
}

welcome entry_gate::makeWelcome(bool isAccepted) const
{
    welcome value;
    value.accepted = isAccepted;
    value.version = ProtocolVersion;
    if (isAccepted) {
        value.self = m_context.self;
        value.lease = m_context.settings.lease;
        value.entries = m_context.directory.connected();
        const snapshot_source *source = m_context.settings.snapshots;
        value.configOffset = source != nullptr ? source->offset() : 0;
    }
    return value;
}

kj::Promise<void> entry_gate::registerAgent(RegisterAgentContext call)
{
    rpc_link &link = unregisteredLink();
    const auto params = call.getParams();
    // In another version the fields of the announcement may have other meanings, so only the address is read, for the log.
    if (!checkVersion(params.getVersion(), "agent", fromWireText(params.getInfo().getAddress()))) {
        encode(makeWelcome(false), call.getResults().initWelcome());
        return kj::READY_NOW;
    }
    auto session = std::make_shared<agent_session>(m_context, m_link, decode(params.getInfo()), params.getAgent());
    session->readFactor(params.getInfo().getRunTimeFactor());
    link.setRegistered();
    link.setUser(session);
    auto results = call.getResults();
    encode(makeWelcome(true), results.initWelcome());
    results.setSession(kj::heap<agent_session_port>(m_context, session));
    session->join();
    return kj::READY_NOW;
}

kj::Promise<void> entry_gate::greet(GreetContext call)
{
    rpc_link &link = unregisteredLink();
    const auto params = call.getParams();
    if (!checkVersion(params.getVersion(), "entry", fromWireText(params.getInfo().getAddress()))) {
        encode(makeWelcome(false), call.getResults().initWelcome());
        return kj::READY_NOW;
    }
    const entry_info peer = decode(params.getInfo());
    auto results = call.getResults();
    encode(makeWelcome(true), results.initWelcome());
    // An entry that has connected to itself closes the connection when it reads its own identifier in the answer.
    if (peer.id == m_context.self.id) {
        return kj::READY_NOW;
    }
    auto session = std::make_shared<peer_session>(m_context, m_link, std::string());
    link.setRegistered();
    link.setUser(session);
    results.setSession(kj::heap<entry_port>(m_context, session));
    session->join(peer, params.getPeer());
    return kj::READY_NOW;
}

} // namespace teaselward
