#pragma once

#include "base/clock.h"
#include "job/agent_directory.h"
#include "job/demand_sender.h"
#include "job/entry_action.h"
#include "job/entry_context.h"
#include "job/entry_core_settings.h"
#include "job/entry_event.h"
#include "job/evacuation_exchange.h"
#include "job/job_manager.h"
#include "job/quota_exchange.h"
#include "job/request_forwarder.h"
#include "job/task_placer.h"
#include "job/ticket_issuer.h"
#include "job/ticket_recovery.h"
#include "log/logger.h"

#include <optional>
#include <vector>

namespace teaselward::detail
{

/** State and event handlers of entry_core; the handlers delegate to the parts. */
class entry_core_private
{
public:
    entry_core_private(const entry_core_settings &settings, mono_time start, logger &log);

    void handle(const entry_event &event, mono_time now, std::vector<entry_action> &actions);
    mono_time nextDue() const;

private:
    using handler = void (entry_core_private::*)(const entry_event &);

    template<auto Member, typename Event>
    void call(const entry_event &event);

    void onTicketRequested(const ticket_requested &event);
    void onJobSubmitted(const job_submitted &event);
    void onKeyedJobSubmitted(const keyed_job_submitted &event);
    void onRequestAbandoned(const request_abandoned &event);
    void onCallersChecked(const callers_checked &event);
    void onJobQueried(const job_queried &event);
    void onJobCancelled(const job_cancelled &event);
    void onAgentJoined(const agent_joined &event);
    void onAgentLost(const agent_lost &event);
    void onAgentLeaving(const agent_leaving &event);
    void onEndpointCrashed(const endpoint_crashed &event);
    void onEvacuationsReported(const evacuations_reported &event);
    void onInterferenceReported(const interference_reported &event);
    void onCreditsGranted(const credits_granted &event);
    void onTaskFinished(const task_finished &event);
    void onStartUnanswered(const start_unanswered &event);
    void onTaskRevoked(const task_revoked &event);
    void onTicketFenced(const ticket_fenced &event);
    void onForwardAnswered(const forward_answered &event);
    void onPeerJoined(const peer_joined &event);
    void onPeerLost(const peer_lost &event);
    void onPeerReported(const peer_reported &event);
    void onRulesApplied(const rules_applied &event);
    void onStatusRequested(const status_requested &event);
    void onTimer(const timer_fired &event);
    void onDrainStarted(const drain_started &event);

    void setInterference(const agent_id &agent, const std::vector<kind_pair> &pairs);
    void detectPause(mono_time now);
    void runTimers();
    bool isIdle() const;
    void finishDrainIfIdle();
    void logSpeedChanges();

    entry_context m_context;
    ticket_issuer m_tickets;
    job_manager m_jobs;
    task_placer m_placer;
    ticket_recovery m_recoveries;
    request_forwarder m_forwarder;
    agent_directory m_agents;
    demand_sender m_demand;
    quota_exchange m_quotas;
    evacuation_exchange m_evacuations;
    std::optional<mono_time> m_drainEnd; ///< Set while the entry is draining.
    bool m_isDrained = false;
};

} // namespace teaselward::detail
