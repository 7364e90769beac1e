#include "proc/agent_process.h"

#include "agent/agent_core.h"
#include "base/bounded_ring.h"
#include "base/duty_thread.h"
#include "base/one_shot_timer.h"
#include "http/endpoint_client.h"
#include "proc/action_routes.h"
#include "proc/agent_component_settings.h"
#include "proc/decision_loop.h"
#include "rpc/agent_rpc.h"

#include <absl/synchronization/notification.h>

#include <atomic>
#include <type_traits>
#include <utility>

namespace teaselward
{

namespace detail
{

class agent_process_private
{
public:
    using loop = decision_loop<agent_core, agent_event, agent_action>;

    agent_process_private(const agent_settings &given,
                          const agent_core_settings &coreSettings,
                          const agent_process::endpoint_factory &makeEndpoint,
                          logger &log,
                          agent_process::factor_observer factorObserver)
        : settings(given)
        , observeFactor(std::move(factorObserver))
        , core(coreSettings, log)
        , endpoint(makeEndpoint(events))
        , rpc(agentRpcSettings(given, coreSettings.self), events, log)
    {
    }

    ~agent_process_private()
    {
        endpoint->stop();
        rpc.stop();
        timer.stop();
        events.close();
    }

    // Maps each action to its adapter; the RPC adapter gets all actions that are not named here.
    template<typename Action>
    static constexpr bool (agent_process_private::*route())(agent_action &)
    {
        if constexpr (std::is_same_v<Action, call_endpoint>) {
            return &agent_process_private::postToEndpoint;
        } else if constexpr (std::is_same_v<Action, stop_call>) {
            return &agent_process_private::postStopCall;
        } else if constexpr (std::is_same_v<Action, confirm_home>) {
            return &agent_process_private::postConfirmation;
        } else if constexpr (std::is_same_v<Action, answer_start>) {
            return &agent_process_private::postAnswer;
        } else if constexpr (std::is_same_v<Action, finish_agent_drain>) {
            return &agent_process_private::notifyStopped;
        } else {
            return &agent_process_private::postToRpc;
        }
    }

    bool postToEndpoint(agent_action &action)
    {
        return endpoint->post(std::move(std::get<call_endpoint>(action)));
    }

    bool postStopCall(agent_action &action)
    {
        return endpoint->post(std::get<stop_call>(action));
    }

    bool postConfirmation(agent_action &action)
    {
        return endpoint->post(std::get<confirm_home>(action));
    }

    bool postAnswer(agent_action &action)
    {
        if (observeFactor) {
            observeFactor(std::get<answer_start>(action).runTimeFactor);
        }
        return rpc.post(std::move(action));
    }

    bool postToRpc(agent_action &action)
    {
        return rpc.post(std::move(action));
    }

    bool notifyStopped(agent_action & /*action*/)
    {
        if (!stopSignalled.exchange(true)) {
            stopped.Notify();
        }
        return true;
    }

    static constexpr std::size_t EventCapacity = 1024;

    const agent_settings settings;
    const agent_process::factor_observer observeFactor;
    bounded_ring<agent_event> events{EventCapacity};
    absl::Notification stopped;
    std::atomic<bool> stopSignalled{false};
    agent_core core;
    one_shot_timer timer{[this] {
        events.push(agent_timer_fired{});
    }};
    std::unique_ptr<endpoint_port> endpoint;
    agent_rpc rpc;
    duty_thread decision{"decision", [this] {
                             loop(core, events, timer, [this](agent_action &action) {
                                 return action_routes<agent_process_private, agent_action>::deliver(*this, action);
                             }).run();
                         }};
};

} // namespace detail

agent_process::agent_process(const agent_settings &settings, logger &log)
    : agent_process(
        settings,
        agentCoreSettings(settings, makeAgentInfo(settings)),
        [&settings, &log](bounded_ring<agent_event> &events) {
            return std::make_unique<endpoint_client>(endpointClientSettings(settings), events, log);
        },
        log)
{
}

agent_process::agent_process(
    const agent_settings &settings, const agent_core_settings &core, const endpoint_factory &makeEndpoint, logger &log, factor_observer observeFactor)
    : d(std::make_unique<detail::agent_process_private>(settings, core, makeEndpoint, log, std::move(observeFactor)))
{
}

agent_process::~agent_process() = default;

void agent_process::requestStop()
{
    requestStop(d->settings.drainBound);
}

void agent_process::requestStop(std::chrono::milliseconds bound)
{
    d->events.push(agent_drain_started{bound});
}

void agent_process::changeCapacity(const task_resources &capacity)
{
    d->events.push(capacity_changed{capacity});
}

void agent_process::announceStop(mono_time stopsAt)
{
    d->events.push(stop_announced{stopsAt});
}

void agent_process::announceWarmUp(mono_time warmAt)
{
    d->events.push(warm_up_announced{warmAt});
}

void agent_process::waitForStop()
{
    d->stopped.WaitForNotification();
}

} // namespace teaselward
