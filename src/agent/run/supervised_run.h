#pragma once

#include "agent/action/call_endpoint.h"
#include "agent/run/run_id.h"
#include "agent/run/run_state.h"
#include "base/clock.h"
#include "core/reason.h"
#include "core/task_verdict.h"

#include <cstdint>

namespace teaselward
{

/** Run that an agent ordered and whose end it has not reported yet. */
struct supervised_run {
    run_id id;
    call_endpoint order;
    run_state state = run_state::starting;
    mono_time startedAt{};
    mono_time limit{}; ///< The run is stopped then.
    bool wasSeen = false; ///< It certainly began.
    bool stopWanted = false;
    reason stopReason = reason::cancelled;
    task_verdict verdictIfAbsent = task_verdict::notStarted; ///< Outcome if it turns out that it never began.
    std::uint64_t decidingList = 0; ///< A list with a higher number decides whether the run is there.
    std::uint32_t percent = 0;
    mono_time progressedAt{}; ///< Time at which the percentage last changed.
    mono_time retryAt = mono_time::max(); ///< Next attempt of a stop that got no answer.
};

} // namespace teaselward
