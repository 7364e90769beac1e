#include "rpc/agent_session_port.h"

#include "rpc/evacuation_codec.h"
#include "rpc/interference_codec.h"
#include "rpc/list_codec.h"
#include "rpc/snapshot_codec.h"
#include "rpc/snapshot_source.h"

#include <kj/debug.h>

#include <utility>

namespace teaselward
{

agent_session_port::agent_session_port(entry_rpc_context &context, std::weak_ptr<agent_session> session)
    : m_context(context)
    , m_session(std::move(session))
{
}

// A session that was replaced or lost must not change the credits of the agent's current session.
agent_id agent_session_port::currentAgent() const
{
    const auto session = m_session.lock();
    KJ_REQUIRE(session != nullptr, "the session is closed");
    const auto found = m_context.agents.find(session->info().id);
    KJ_REQUIRE(found != m_context.agents.end() && found->second == session.get(), "the session is closed");
    return session->info().id;
}

kj::Promise<void> agent_session_port::ping(PingContext /*call*/)
{
    return kj::READY_NOW;
}

kj::Promise<void> agent_session_port::credits(CreditsContext call)
{
    m_context.events.push(credits_granted{currentAgent(), call.getParams().getDelta()});
    return kj::READY_NOW;
}

kj::Promise<void> agent_session_port::leaving(LeavingContext /*call*/)
{
    m_context.events.push(agent_leaving{currentAgent()});
    return kj::READY_NOW;
}

kj::Promise<void> agent_session_port::snapshot(SnapshotContext call)
{
    const snapshot_source *source = m_context.settings.snapshots;
    KJ_REQUIRE(source != nullptr, "no copy of the configuration");
    encode(source->copy(), call.getResults().initSnapshot());
    return kj::READY_NOW;
}

kj::Promise<void> agent_session_port::crashed(CrashedContext call)
{
    m_context.events.push(endpoint_crashed{currentAgent(), decodeSuspects(call.getParams().getSuspects())});
    return kj::READY_NOW;
}

kj::Promise<void> agent_session_port::evacuate(EvacuateContext call)
{
    m_context.events.push(
        evacuations_reported{.state = decode(call.getParams().getEvacuations()), .source = evacuation_source::agent, .agent = currentAgent()});
    return kj::READY_NOW;
}

kj::Promise<void> agent_session_port::interference(InterferenceContext call)
{
    m_context.events.push(interference_reported{currentAgent(), decodePairs(call.getParams().getPairs())});
    return kj::READY_NOW;
}

} // namespace teaselward
