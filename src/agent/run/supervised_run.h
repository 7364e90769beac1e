#pragma once

#include "agent/action/call_endpoint.h"
#include "agent/run/run_id.h"
#include "agent/run/run_state.h"
#include "base/clock.h"
#include "core/reason.h"
#include "core/task_verdict.h"

#include <cstdint>
#include <optional>

namespace teaselward
{

/** Run that was requested by the agent and whose end is not reported yet. */
struct supervised_run {
    run_id id;
    call_endpoint order;
    run_state state = run_state::starting;
    mono_time startedAt{};
    mono_time stopAt{}; ///< The run is stopped at this time.
    bool hasStarted = false; ///< The run is known to have started.
    bool stopRequested = false;
    reason stopReason = reason::cancelled;
    task_verdict verdictIfAbsent = task_verdict::notStarted; ///< Verdict if the run turns out never to have started.
    std::uint64_t decidingList = 0; ///< Only a list with a higher number shows whether the run exists.
    std::uint32_t percent = 0;
    mono_time progressedAt{}; ///< Time of the last change of the percentage.
    mono_time retryAt = mono_time::max(); ///< Time at which an unconfirmed stop is repeated.
    std::optional<mono_time> endRequestedAt; ///< Time at which the end of the run was first requested.
};

} // namespace teaselward
