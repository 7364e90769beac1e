#include "job/entry_core_private.h"

#include "core/concat.h"

#include <string>
#include <utility>

namespace teaselward::detail
{

void entry_core_private::onTicketRequested(const ticket_requested &event)
{
    reply_tickets reply{.request = event.request, .why = reason::none, .tickets = {}};
    if (m_drainEnd) {
        reply.why = reason::draining;
    } else if (event.count == 0 || event.count > m_context.settings.maxTicketsPerRequest) {
        reply.why = reason::malformed;
    } else {
        reply.tickets = m_tickets.issue(event.count, m_context.now);
    }
    m_context.actions->push_back(std::move(reply));
}

void entry_core_private::onJobSubmitted(const job_submitted &event)
{
    if (m_tickets.isHome(event.job.source)) {
        m_jobs.submit(event.request, event.job);
    } else {
        m_forwarder.forwardJob(event.request, event.job);
    }
}

void entry_core_private::onKeyedJobSubmitted(const keyed_job_submitted &event)
{
    job_request job = event.job;
    job.source = m_tickets.issue(1, m_context.now).front();
    m_jobs.submit(event.request, std::move(job), event.callerSeenAt);
}

void entry_core_private::onRequestAbandoned(const request_abandoned &event)
{
    m_jobs.abandon(event.request);
}

void entry_core_private::onCallersChecked(const callers_checked &event)
{
    m_context.callers.recordCheck(event.checkedAt, event.lastRequest);
}

void entry_core_private::onJobQueried(const job_queried &event)
{
    if (m_tickets.isHome(event.source)) {
        m_jobs.query(event.request, event.source, event.wait);
    } else {
        m_forwarder.forwardQuery(event.request, event.source, event.wait);
    }
}

void entry_core_private::onJobCancelled(const job_cancelled &event)
{
    if (m_tickets.isHome(event.source)) {
        m_jobs.cancel(event.request, event.source);
    } else {
        m_forwarder.forwardCancel(event.request, event.source);
    }
}

// A new incarnation at a known address proves that the ledger of the previous one is gone.
void entry_core_private::onAgentJoined(const agent_joined &event)
{
    const agent_id &agent = event.info.id;
    if (m_context.log.isEnabled()) {
        m_context.log.write(log_part::member, concat("Agent connected. agent=", agent.value, " address=", event.info.address, " slots=", event.info.slots));
    }
    if (const auto former = m_agents.join(event.info); former) {
        m_agents.leave(*former);
        m_context.slots.leave(*former);
        setInterference(*former, {});
        m_placer.incarnationGone(*former);
        m_recoveries.incarnationGone(*former);
    }
    m_context.slots.join(event.info, event.credits, event.lease, m_context.now);
    setInterference(agent, {});
    m_placer.connectionRestored(agent);
    m_recoveries.agentJoined(agent);
}

void entry_core_private::onAgentLost(const agent_lost &event)
{
    if (m_context.log.isEnabled()) {
        m_context.log.write(log_part::member, concat("Connection to agent lost. agent=", event.agent.value, " starts=", m_placer.outstanding()));
    }
    m_agents.leave(event.agent);
    m_context.slots.leave(event.agent);
    setInterference(event.agent, {});
    m_placer.connectionLost(event.agent);
}

// The agent still answers the starts that it has accepted, so its placements are kept.
void entry_core_private::onAgentLeaving(const agent_leaving &event)
{
    if (m_context.log.isEnabled()) {
        m_context.log.write(log_part::member, concat("Agent is shutting down. agent=", event.agent.value));
    }
    m_agents.leave(event.agent);
    m_context.slots.leave(event.agent);
    setInterference(event.agent, {});
}

// The agent still answers the starts that were lost, and joins under a new id once the endpoint is back.
void entry_core_private::onEndpointCrashed(const endpoint_crashed &event)
{
    if (m_context.log.isEnabled()) {
        std::string kinds;
        for (const crash_suspect &suspect : event.suspects) {
            kinds += concat(kinds.empty() ? "" : ",", suspect.kind, suspect.isRepeated ? "(repeated)" : "");
        }
        m_context.log.write(log_part::member, concat("Endpoint crashed. agent=", event.agent.value, " kinds=", kinds));
    }
    m_agents.leave(event.agent);
    m_context.slots.leave(event.agent);
    setInterference(event.agent, {});
    for (const std::string &kind : m_context.quarantine.recordCrash(event.suspects, m_context.now)) {
        if (m_context.log.isEnabled()) {
            m_context.log.write(log_part::place, concat("Quarantined a kind whose tasks crash endpoints. kind=", kind));
        }
    }
    m_context.slots.setIsolated(!m_context.quarantine.isEmpty(), m_context.now);
}

// Jobs that wait for endpoints of the evacuated failure domains only are refused at once instead of at their deadlines.
void entry_core_private::onEvacuationsReported(const evacuations_reported &event)
{
    if (m_evacuations.report(event)) {
        m_jobs.refuseUnplaceable();
    }
}

void entry_core_private::onCreditsGranted(const credits_granted &event)
{
    m_context.slots.addCredits(event.agent, event.delta);
}

void entry_core_private::onTaskFinished(const task_finished &event)
{
    m_context.slots.setRunTimeFactor(event.agent, event.runTimeFactor);
    m_placer.finished(event.agent, event.id, event.outcome, event.credits);
}

void entry_core_private::onStartUnanswered(const start_unanswered &event)
{
    m_placer.unanswered(event.agent, event.id);
}

void entry_core_private::onTaskRevoked(const task_revoked &event)
{
    m_placer.revoked(event.agent, event.held);
}

void entry_core_private::onTicketFenced(const ticket_fenced &event)
{
    m_recoveries.fenced(event.agent, event.ticket, event.answered, event.held);
}

void entry_core_private::onForwardAnswered(const forward_answered &event)
{
    m_forwarder.answered(event.request, event.reached, event.otherIncarnation, event.answer);
}

void entry_core_private::onPeerJoined(const peer_joined &event)
{
    m_quotas.addPeer(event.info);
}

void entry_core_private::onPeerLost(const peer_lost &event)
{
    m_quotas.removePeer(event.peer);
}

void entry_core_private::onPeerReported(const peer_reported &event)
{
    m_quotas.recordUsage(event.peer, event.usage);
}

// The configuration never goes backwards: rules with a lower log offset are stale and ignored.
void entry_core_private::onRulesApplied(const rules_applied &event)
{
    if (!event.rules || (m_context.rules && event.rules->offset < m_context.rules->offset)) {
        return;
    }
    m_context.rules = event.rules;
    for (const auto &[name, rule] : event.rules->kinds) {
        if (rule.placedByService) {
            m_context.services[name] = rule.service;
        }
    }
    m_context.queue.setRules(event.rules);
}

void entry_core_private::onStatusRequested(const status_requested &event)
{
    reply_status reply{.request = event.request, .status = {}};
    reply.status.self = m_context.settings.self;
    reply.status.draining = m_drainEnd.has_value();
    reply.status.rulesOffset = m_context.rules ? m_context.rules->offset : 0;
    reply.status.evacuatedDomains = m_evacuations.domains();
    reply.status.evacuatedRefusals = m_placer.evacuatedRefusals();
    reply.status.runningJobs = m_jobs.runningCount();
    reply.status.keptAnswers = m_jobs.keptCount();
    reply.status.peers = m_quotas.peers();
    reply.status.endpoints = m_context.slots.status();
    reply.status.separation = m_context.slots.separation();
    reply.status.separation.pairs = m_context.interference.pairs();
    reply.status.queues = m_context.queue.status();
    reply.status.refusals = m_context.refusals;
    m_context.actions->push_back(std::move(reply));
}

void entry_core_private::onTimer(const timer_fired & /*event*/)
{
}

void entry_core_private::onDrainStarted(const drain_started &event)
{
    if (m_drainEnd) {
        return;
    }
    m_drainEnd = m_context.now + event.bound;
    m_context.isDraining = true;
    if (m_context.log.isEnabled()) {
        m_context.log.write(log_part::job, concat("Started draining. jobs=", m_jobs.runningCount(), " bound_ms=", event.bound.count()));
    }
}

} // namespace teaselward::detail
