#pragma once

#include "base/clock.h"
#include "core/rule_set.h"
#include "job/backoff.h"
#include "job/entry_action.h"
#include "job/entry_core_settings.h"
#include "log/decision_log.h"
#include "place/slot_table.h"
#include "share/task_queue.h"

#include <memory>
#include <vector>

namespace teaselward
{

/** What the parts of the decisions of an entry share. */
struct entry_context {
    entry_context(const entry_core_settings &entrySettings, mono_time startTime, decision_log &decisionLog)
        : settings(entrySettings)
        , start(startTime)
        , log(decisionLog)
        , slots(entrySettings.strategy, entrySettings.seed)
        , random(static_cast<job_random::result_type>(entrySettings.seed))
        , now(startTime)
    {
    }

    entry_core_settings settings;
    mono_time start; ///< Tickets state their issue time relative to it.
    decision_log &log;
    task_queue queue;
    slot_table slots;
    std::shared_ptr<const rule_set> rules; ///< Null until the first configuration is applied.
    job_random random;
    bool isDraining = false;
    mono_time now; ///< Time of the event in progress.
    std::vector<entry_action> *actions = nullptr; ///< Receiver of the event in progress.
};

} // namespace teaselward
