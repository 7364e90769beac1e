#pragma once

#include "agent/agent_action.h"
#include "agent/agent_core_settings.h"
#include "agent/agent_event.h"
#include "agent/crash_suspects.h"
#include "agent/endpoint_breaker.h"
#include "agent/endpoint_resources.h"
#include "agent/held_start_queue.h"
#include "agent/interference_monitor.h"
#include "agent/ledger.h"
#include "agent/priority_reserve.h"
#include "agent/run_time_factor.h"
#include "agent/running_task.h"
#include "agent/session_table.h"
#include "agent/start_window.h"
#include "agent/task_size_estimate.h"
#include "agent/warm_up.h"
#include "base/clock.h"
#include "log/logger.h"
#include "member/evacuation_register.h"
#include "place/credit_allocator.h"

#include <absl/container/flat_hash_map.h>

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace teaselward::detail
{

/** State and event handlers of agent_core. */
class agent_core_private
{
public:
    agent_core_private(const agent_core_settings &settings, logger &log);

    void handle(const agent_event &event, mono_time now, std::vector<agent_action> &actions);
    mono_time nextDue() const;

private:
    using handler = void (agent_core_private::*)(const agent_event &);

    template<auto Member, typename Event>
    void call(const agent_event &event);

    void onStart(const start_received &event);
    void onStop(const stop_received &event);
    void onRevoke(const revoke_received &event);
    void onFence(const fence_received &event);
    void onDemand(const demand_received &event);
    void onCallFinished(const call_finished &event);
    void onEntryJoined(const entry_joined &event);
    void onEntryLost(const entry_lost &event);
    void onEntryConfirmed(const entry_confirmed &event);
    void onEvacuationsReceived(const evacuations_received &event);
    void onTimer(const agent_timer_fired &event);
    void onDrainStarted(const agent_drain_started &event);
    void onCapacityChanged(const capacity_changed &event);
    void onStopAnnounced(const stop_announced &event);
    void onWarmUpAnnounced(const warm_up_announced &event);

    void detectPause(mono_time now);
    void reportWithdrawal();
    void reportEvacuations(const entry_id &entry);
    void refuseEvacuated(const start_received &event, std::int32_t credits);
    void continueWarmUp();
    bool isLeaving() const;
    void closeWindow();
    void stopRunsThatMiss(mono_time stopsAt);
    void stopRunsOf(const entry_id &entry);
    void stopRun(const task_id &id, running_task &task, reason why = reason::cancelled);
    void run(const call_id &call, const entry_id &from, const start_order &order);
    void updateSlots();
    bool fits(const start_order &order);
    void onBreakerOpened();
    void reportCrash(const call_finished &first);
    void logCrash(const crash_suspects &suspects, const std::vector<crash_suspect> &kinds);
    void watchStart(running_task &task, const start_order &order, std::size_t others);
    void watchEnd(const running_task &task, const task_outcome &outcome);
    void reportInterference(const std::vector<interference_change> &changes);
    void startHeld();
    std::optional<held_start> takeHeld();
    void refuseHeld(const held_start &start, reason why);
    void refuseAllHeld(const held_start_queue::filter &isRefused, reason why);
    void dropHeldOf(const entry_id &entry);
    void answerKnownStart(const start_received &event, const ledger_record &record);
    void refuseStart(const call_id &call, const entry_id &from, const task_id &id, reason why, std::int32_t credits);
    std::int32_t grant(const std::vector<credit_grant> &grants, const entry_id *answeredEntry);
    void finishDrainIfIdle();

    logger &m_log;
    ledger m_ledger;
    credit_allocator m_credits;
    held_start_queue m_held;
    session_table m_sessions;
    absl::flat_hash_map<task_id, running_task> m_running;
    endpoint_resources m_resources;
    priority_reserve m_reserve;
    endpoint_breaker m_breaker;
    task_size_estimate m_taskSize;
    run_time_factor m_factor; ///< Of this instance of the endpoint.
    warm_up m_warmUp;
    start_window m_window;
    std::optional<interference_monitor> m_interference; ///< Empty unless it is enabled.
    bool m_hasExactSlots;
    std::chrono::milliseconds m_sessionLease; ///< Zero if pauses are not detected.
    std::optional<mono_time> m_drainEnd; ///< Set once a drain has started.
    bool m_isDrained = false;
    std::string m_failureDomain; ///< Failure domain of the endpoint.
    evacuation_register m_evacuations;
    std::optional<mono_time> m_withdrawalDue; ///< Time at which entries that have missed a withdrawn evacuation are told.
    bool m_hasCrashed = false; ///< The endpoint has crashed, so all further starts are refused.
    mono_time m_now{}; ///< Time of the event being handled.
    std::vector<agent_action> *m_actions = nullptr; ///< Receives the actions of the event being handled.
};

} // namespace teaselward::detail
