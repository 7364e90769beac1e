#include "rpc/agent_session.h"

#include "rpc/evacuation_codec.h"
#include "rpc/factor_codec.h"
#include "rpc/list_codec.h"
#include "rpc/rpc_limits.h"
#include "rpc/snapshot_source.h"
#include "rpc/task_codec.h"
#include "rpc/ticket_codec.h"

#include <utility>

namespace teaselward
{

agent_session::agent_session(entry_rpc_context &context, std::uint64_t link, agent_info info, wire::AgentPort::Client port)
    : m_context(context)
    , m_link(link)
    , m_info(std::move(info))
    , m_port(std::move(port))
    , m_calls(*this)
{
}

// The agent no longer uses the older session, so calls on it will not be answered.
void agent_session::join()
{
    const auto older = m_context.agents.find(m_info.id);
    if (older != m_context.agents.end()) {
        m_context.links.close(older->second->link(), "replaced by a newer session");
    }
    m_context.agents[m_info.id] = this;
    if (m_context.evacuations) {
        sendEvacuations(*m_context.evacuations);
    }
    m_context.events.push(agent_joined{m_info, 0, m_context.settings.lease});
}

const agent_info &agent_session::info() const
{
    return m_info;
}

std::uint64_t agent_session::link() const
{
    return m_link;
}

// A call stays in the table until its answer, its failure or the loss of the session, whichever comes first, so that exactly one
// event is raised for it.
void agent_session::start(const start_order &order)
{
    const std::uint64_t number = ++m_lastCall;
    m_pendingStarts.emplace(number, order.id);
    auto request = m_port.startRequest();
    encode(order, request.initOrder());
    m_calls.add(request.send()
                    .then([this, number, id = order.id](auto &&response) {
                        task_finished event{m_info.id, id, decode(response.getOutcome()), response.getCredits(), readFactor(response.getRunTimeFactor())};
                        if (m_pendingStarts.erase(number) > 0) {
                            m_context.events.push(std::move(event));
                        }
                    })
                    .catch_([this, number](kj::Exception && /*exception*/) {
                        failStart(number);
                    }));
}

// Logs the first bad factor of a session only, because an agent sends one with each answer.
double agent_session::readFactor(double value)
{
    const double factor = fromWireFactor(value);
    if (factor != value && !m_hasBadFactor) {
        m_hasBadFactor = true;
        m_context.log.write(log_part::rpc,
                            "Run time factor out of range. agent=" + std::to_string(m_info.id.value) + " factor=" + std::to_string(value)
                                + " used=" + std::to_string(factor));
    }
    return factor;
}

void agent_session::revoke(const task_id &id)
{
    auto request = m_port.revokeRequest();
    encode(id, request.initId());
    m_calls.add(request.send().then([this](auto &&response) {
        task_revoked event{m_info.id, decode(response.getHeld())};
        if (!m_isLost) {
            m_context.events.push(std::move(event));
        }
    }));
}

void agent_session::stop(const task_id &id)
{
    auto request = m_port.stopRequest();
    encode(id, request.initId());
    m_calls.add(request.send().ignoreResult());
}

void agent_session::failStart(std::uint64_t number)
{
    const auto found = m_pendingStarts.find(number);
    if (found == m_pendingStarts.end()) {
        return;
    }
    const task_id id = found->second;
    m_pendingStarts.erase(found);
    m_context.events.push(start_unanswered{m_info.id, id});
}

void agent_session::fence(const ticket_id &ticket)
{
    const std::uint64_t number = ++m_lastCall;
    m_pendingFences.emplace(number, ticket);
    auto request = m_port.fenceRequest();
    encode(ticket, request.initTicket());
    m_calls.add(request.send()
                    .then([this, number, ticket](auto &&response) {
                        ticket_fenced event{m_info.id, ticket, true, decodeHeld(response.getHeld())};
                        if (m_pendingFences.erase(number) > 0) {
                            m_context.events.push(std::move(event));
                        }
                    })
                    .catch_([this, number, ticket](kj::Exception && /*exception*/) {
                        if (m_pendingFences.erase(number) > 0) {
                            m_context.events.push(ticket_fenced{m_info.id, ticket, false, {}});
                        }
                    }));
}

void agent_session::sendDemand(std::uint32_t queued)
{
    auto request = m_port.demandRequest();
    request.setQueued(queued);
    m_calls.add(request.send().ignoreResult());
}

void agent_session::sendEntries(const std::vector<std::string> &addresses)
{
    auto request = m_port.entriesRequest();
    encodeTexts(addresses, request.initAddresses(static_cast<unsigned>(addresses.size())));
    m_calls.add(request.send().ignoreResult());
}

// An agent of an older build does not know the message; its error is ignored.
void agent_session::sendEvacuations(const evacuation_state &state)
{
    auto request = m_port.evacuateRequest();
    encode(state, request.initEvacuations());
    m_calls.add(request.send().ignoreResult());
}

void agent_session::sendPing()
{
    auto request = m_port.pingRequest();
    const snapshot_source *source = m_context.settings.snapshots;
    request.setConfigOffset(source != nullptr ? source->offset() : 0);
    m_calls.add(request.send().ignoreResult());
}

void agent_session::handleLost()
{
    const auto found = m_context.agents.find(m_info.id);
    if (found != m_context.agents.end() && found->second == this) {
        m_context.agents.erase(found);
    }
    m_isLost = true;
    for (const auto &[number, id] : std::exchange(m_pendingStarts, {})) {
        m_context.events.push(start_unanswered{m_info.id, id});
    }
    for (const auto &[number, ticket] : std::exchange(m_pendingFences, {})) {
        m_context.events.push(ticket_fenced{m_info.id, ticket, false, {}});
    }
    m_context.events.push(agent_lost{m_info.id});
}

// Ignored: link_table reports the loss of the connection.
void agent_session::taskFailed(kj::Exception && /*exception*/)
{
}

} // namespace teaselward
