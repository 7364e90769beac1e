#include "rpc/peer_session.h"

#include "rpc/evacuation_codec.h"
#include "rpc/forwarder.h"
#include "rpc/info_codec.h"
#include "rpc/job_codec.h"
#include "rpc/list_codec.h"
#include "rpc/peer_table.h"
#include "rpc/rpc_limits.h"
#include "rpc/snapshot_codec.h"
#include "rpc/snapshot_source.h"
#include "rpc/ticket_codec.h"
#include "rpc/welcome_codec.h"

#include <utility>

namespace teaselward
{

peer_session::peer_session(entry_rpc_context &context, std::uint64_t link, std::string address)
    : m_context(context)
    , m_link(link)
    , m_address(std::move(address))
    , m_isDialed(!m_address.empty())
    , m_port(nullptr)
    , m_calls(*this)
{
}

void peer_session::greet(wire::EntryGate::Client gate, wire::EntryPort::Client own)
{
    auto request = gate.greetRequest();
    request.setVersion(ProtocolVersion);
    encode(m_context.self, request.initInfo());
    request.setPeer(std::move(own));
    m_calls.add(request.send()
                    .then([this](auto &&response) {
                        handleWelcome(decode(response.getWelcome()), response.getSession());
                    })
                    .catch_([this](kj::Exception && /*exception*/) {
                        m_context.links.close(m_link, "the greeting failed");
                    }));
}

void peer_session::handleWelcome(const welcome &answer, wire::EntryPort::Client port)
{
    rpc_link *link = m_context.links.find(m_link);
    if (link == nullptr) {
        return;
    }
    if (!answer.accepted) {
        m_context.log.write(log_part::rpc,
                            "Greeting refused. reason=version_mismatch address=" + m_address + " version=" + std::to_string(answer.version)
                                + " own=" + std::to_string(ProtocolVersion));
        m_context.links.close(m_link, "version mismatch");
        return;
    }
    if (answer.self.id == m_context.self.id) {
        m_context.directory.exclude(m_address);
        m_context.links.close(m_link, "the address is this entry's own");
        return;
    }
    link->setRegistered();
    for (const std::string &address : answer.entries) {
        m_context.directory.learn(address, mono_clock::now());
    }
    join(answer.self, std::move(port));
    fetchSnapshotIfNewer(answer.configOffset);
}

void peer_session::join(const entry_info &peer, wire::EntryPort::Client port)
{
    m_peer = peer;
    m_port = std::move(port);
    if (!m_isDialed) {
        m_address = peer.address;
    }
    m_context.peers.join(*this);
    if (m_context.evacuations) {
        sendEvacuations(*m_context.evacuations);
    }
    if (m_earlyEvacuations) {
        receiveEvacuations(*std::exchange(m_earlyEvacuations, std::nullopt));
    }
}

const std::optional<entry_info> &peer_session::peer() const
{
    return m_peer;
}

const std::string &peer_session::address() const
{
    return m_address;
}

std::uint64_t peer_session::link() const
{
    return m_link;
}

// Sends a forwarded request and raises forward_answered with its answer or its failure.
template<typename R>
void peer_session::await(const request_id &request, R &&call)
{
    const std::uint64_t number = ++m_lastCall;
    m_pendingForwards.emplace(number, request);
    m_calls.add(call.send()
                    .then([this, number, request](auto &&response) {
                        const auto result = response.getResult();
                        answer(number, forward_answered{request, true, result.getOtherIncarnation(), decode(result.getAnswer())});
                    })
                    .catch_([this, number, request](kj::Exception && /*exception*/) {
                        answer(number, forward_answered{request, false, false, {}});
                    }));
}

void peer_session::send(const forward_job &action)
{
    auto call = m_port.submitRequest();
    encode(action.job, call.initJob());
    await(action.request, std::move(call));
}

void peer_session::send(const forward_query &action)
{
    auto call = m_port.queryRequest();
    encode(action.source, call.initSource());
    call.setWaitMs(action.wait.count());
    await(action.request, std::move(call));
}

void peer_session::send(const forward_cancel &action)
{
    auto call = m_port.cancelRequest();
    encode(action.source, call.initSource());
    await(action.request, std::move(call));
}

void peer_session::answer(std::uint64_t number, forward_answered &&event)
{
    if (m_pendingForwards.erase(number) > 0) {
        m_context.events.push(std::move(event));
    }
}

void peer_session::exchange(const std::vector<team_usage> &usage)
{
    if (m_isExchanging) {
        return;
    }
    m_isExchanging = true;
    auto request = m_port.exchangeRequest();
    const snapshot_source *source = m_context.settings.snapshots;
    request.setConfigOffset(source != nullptr ? source->offset() : 0);
    encodeUsage(usage, request.initUsage(static_cast<unsigned>(usage.size())));
    const std::vector<std::string> entries = takeNewEntries();
    encodeTexts(entries, request.initEntries(static_cast<unsigned>(entries.size())));
    m_calls.add(request.send()
                    .then([this](auto &&response) {
                        for (const std::string &address : decodeTexts(response.getEntries())) {
                            m_context.directory.learn(address, mono_clock::now());
                        }
                        fetchSnapshotIfNewer(response.getConfigOffset());
                    })
                    .attach(kj::defer([this] {
                        m_isExchanging = false;
                    })));
}

std::vector<std::string> peer_session::takeNewEntries()
{
    std::vector<std::string> entries = m_context.directory.connected();
    if (entries == m_reportedEntries) {
        return {};
    }
    m_reportedEntries = entries;
    return entries;
}

void peer_session::fetchSnapshotIfNewer(std::uint64_t offset)
{
    snapshot_source *source = m_context.settings.snapshots;
    if (source == nullptr || m_isFetching || !source->isNewer(offset)) {
        return;
    }
    m_isFetching = true;
    m_calls.add(m_port.snapshotRequest()
                    .send()
                    .then([source](auto &&response) {
                        source->receive(decode(response.getSnapshot()));
                    })
                    .attach(kj::defer([this] {
                        m_isFetching = false;
                    })));
}

// An entry of an older build does not know the message; its error is ignored.
void peer_session::sendEvacuations(const evacuation_state &state)
{
    auto request = m_port.evacuateRequest();
    encode(state, request.initEvacuations());
    m_calls.add(request.send().ignoreResult());
}

// The message can overtake the answer to the greeting, because the other entry sends it at the start of the session.
void peer_session::receiveEvacuations(evacuation_state state)
{
    if (m_peer) {
        m_context.events.push(evacuations_reported{.state = std::move(state), .source = evacuation_source::entry, .peer = m_peer->id});
    } else {
        m_earlyEvacuations = std::move(state);
    }
}

void peer_session::sendPing()
{
    m_calls.add(m_port.pingRequest().send().ignoreResult());
}

void peer_session::handleLost()
{
    for (const auto &[number, request] : std::exchange(m_pendingForwards, {})) {
        m_context.events.push(forward_answered{request, false, false, {}});
    }
    if (m_peer) {
        m_context.peers.remove(*this);
        return;
    }
    if (m_isDialed) {
        m_context.directory.setLost(m_address, mono_clock::now());
        m_context.requestForwarder.handleUnreachable(m_address);
    }
}

// Ignored: link_table reports the loss of the connection.
void peer_session::taskFailed(kj::Exception && /*exception*/)
{
}

} // namespace teaselward
