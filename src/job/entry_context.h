#pragma once

#include "base/clock.h"
#include "core/job_answer.h"
#include "core/request_id.h"
#include "core/rule_set.h"
#include "core/ticket_id.h"
#include "job/entry_action.h"
#include "job/entry_core_settings.h"
#include "job/job_random.h"
#include "log/decision_log.h"
#include "place/slot_table.h"
#include "share/task_queue.h"

#include <memory>
#include <utility>
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

    /**
     * Answers a request.
     * @param request the request
     * @param ticket ticket that it named
     * @param answer the answer
     */
    void reply(const request_id &request, const ticket_id &ticket, job_answer answer) const
    {
        actions->push_back(reply_job{.request = request, .ticket = ticket, .answer = std::move(answer)});
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
