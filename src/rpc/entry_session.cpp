#include "rpc/entry_session.h"

#include "rpc/evacuation_codec.h"
#include "rpc/info_codec.h"
#include "rpc/interference_codec.h"
#include "rpc/list_codec.h"
#include "rpc/rpc_limits.h"
#include "rpc/snapshot_codec.h"
#include "rpc/snapshot_source.h"
#include "rpc/welcome_codec.h"

#include <chrono>
#include <utility>

namespace teaselward
{

namespace
{

// Starts that were sent before the announcement arrive within this time; it exceeds the lease of a session on the users' platform.
constexpr std::chrono::milliseconds RetireDelay{1000};

} // namespace

entry_session::entry_session(agent_rpc_context &context, std::string address, std::uint64_t link)
    : m_context(context)
    , m_address(std::move(address))
    , m_link(link)
    , m_remote(nullptr)
    , m_whenRegistered(nullptr)
    , m_tasks(*this)
{
    auto pair = kj::newPromiseAndFulfiller<void>();
    m_registered = std::move(pair.fulfiller);
    m_whenRegistered = pair.promise.fork();
}

void entry_session::registerAt(wire::EntryGate::Client gate, wire::AgentPort::Client agent)
{
    auto request = gate.registerAgentRequest();
    request.setVersion(ProtocolVersion);
    encode(m_context.self, request.initInfo());
    request.setAgent(std::move(agent));
    m_registrationSentAt = mono_clock::now();
    m_tasks.add(request.send()
                    .then([this](auto &&response) {
                        handleWelcome(decode(response.getWelcome()), response.getSession());
                    })
                    .catch_([this](kj::Exception && /*exception*/) {
                        m_context.links.close(m_link, "the registration failed");
                    }));
}

// Two addresses can lead to the same entry, which keeps only the newer session. The agent therefore closes the older one before it
// reports the newer one.
void entry_session::handleWelcome(const welcome &answer, wire::AgentSession::Client remote)
{
    if (!answer.accepted) {
        m_context.log.write(log_part::rpc,
                            "Registration refused. reason=version_mismatch address=" + m_address + " version=" + std::to_string(answer.version)
                                + " own=" + std::to_string(ProtocolVersion));
        m_context.links.close(m_link, "version mismatch");
        return;
    }
    rpc_link *link = m_context.links.find(m_link);
    if (link == nullptr) {
        return;
    }
    const auto older = m_context.sessions.find(answer.self.id);
    if (older != m_context.sessions.end()) {
        m_context.links.close(older->second->link(), "replaced by a newer session");
    }
    link->setRegistered();
    m_entry = answer.self;
    m_remote = std::move(remote);
    m_context.sessions[answer.self.id] = this;
    m_context.directory.setConnected(m_address, answer.self.id);
    for (const std::string &address : answer.entries) {
        m_context.directory.learn(address, mono_clock::now());
    }
    m_calledAt = m_registrationSentAt; // It confirms the session no longer than any other call sent then.
    m_context.events.push(entry_joined{answer.self, m_registrationSentAt});
    m_registered->fulfill();
    // The agent may have started to leave after the registration was sent.
    if (m_context.self.leaving) {
        sendLeaving();
    }
    fetchSnapshotIfNewer(answer.configOffset);
}

const std::optional<entry_info> &entry_session::entry() const
{
    return m_entry;
}

kj::Promise<void> entry_session::whenRegistered()
{
    return m_whenRegistered.addBranch();
}

std::uint64_t entry_session::link() const
{
    return m_link;
}

const std::string &entry_session::address() const
{
    return m_address;
}

const std::shared_ptr<std::size_t> &entry_session::calls() const
{
    return m_calls;
}

// The entry treats the agent like one that drains: it places nothing new, and waits for the tasks in progress.
void entry_session::retire(mono_time now)
{
    if (!m_retiredAt && m_entry) {
        m_retiredAt = now;
        sendLeaving();
    }
}

bool entry_session::isRetired(mono_time now) const
{
    return m_retiredAt && *m_calls == 0 && now - *m_retiredAt > RetireDelay;
}

// Sends a call whose answer shows that the entry had not given up the session when the call was sent. The time is taken before, so it is
// never later than the entry's knowledge.
template<typename Request>
void entry_session::call(Request &&request)
{
    m_calledAt = mono_clock::now();
    m_tasks.add(request.send().then([this, sentAt = m_calledAt](auto && /*response*/) {
        confirm(sentAt);
    }));
}

// An answer that was in transit when the session was replaced must not confirm the newer one.
void entry_session::confirm(mono_time sentAt)
{
    const auto found = m_entry ? m_context.sessions.find(m_entry->id) : m_context.sessions.end();
    if (found != m_context.sessions.end() && found->second == this) {
        m_context.events.push(entry_confirmed{m_entry->id, sentAt});
    }
}

void entry_session::sendCredits(std::int32_t delta)
{
    auto request = m_remote.creditsRequest();
    request.setDelta(delta);
    call(std::move(request));
}

void entry_session::sendLeaving()
{
    call(m_remote.leavingRequest());
}

// An entry of an older version does not know the message; its error is ignored, and the entry learns of the loss by the answers.
void entry_session::sendCrashed(const std::vector<crash_suspect> &suspects)
{
    auto request = m_remote.crashedRequest();
    encodeSuspects(suspects, request.initSuspects(static_cast<unsigned>(suspects.size())));
    m_tasks.add(request.send().ignoreResult());
}

// An entry of an older build does not know the message; its error is ignored, and it revokes the refused starts.
void entry_session::sendEvacuations(const evacuation_state &state)
{
    auto request = m_remote.evacuateRequest();
    encode(state, request.initEvacuations());
    m_tasks.add(request.send().ignoreResult());
}

// An entry of an older version does not know the message; its error is ignored, and the entry does not separate the kinds.
void entry_session::sendInterference(const std::vector<kind_pair> &pairs)
{
    auto request = m_remote.interferenceRequest();
    encodePairs(pairs, request.initPairs(static_cast<unsigned>(pairs.size())));
    m_tasks.add(request.send().ignoreResult());
}

void entry_session::fetchSnapshotIfNewer(std::uint64_t offset)
{
    snapshot_source *source = m_context.settings.snapshots;
    if (source == nullptr || m_isFetching || !source->isNewer(offset)) {
        return;
    }
    m_isFetching = true;
    m_tasks.add(m_remote.snapshotRequest()
                    .send()
                    .then([source](auto &&response) {
                        source->receive(decode(response.getSnapshot()));
                    })
                    .attach(kj::defer([this] {
                        m_isFetching = false;
                    })));
}

void entry_session::sendPing()
{
    call(m_remote.pingRequest());
}

bool entry_session::needsAnswer(mono_time now) const
{
    return now - m_calledAt >= m_context.settings.heartbeat;
}

void entry_session::handleLost()
{
    m_context.directory.setLost(m_address, mono_clock::now());
    if (!m_entry) {
        return;
    }
    const auto found = m_context.sessions.find(m_entry->id);
    if (found != m_context.sessions.end() && found->second == this) {
        m_context.sessions.erase(found);
    }
    m_context.events.push(entry_lost{m_entry->id});
}

// Ignored: link_table reports the loss of the connection.
void entry_session::taskFailed(kj::Exception && /*exception*/)
{
}

} // namespace teaselward
