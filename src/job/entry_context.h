#pragma once

#include "base/clock.h"
#include "core/job_answer.h"
#include "core/refusal_counts.h"
#include "core/request_id.h"
#include "core/rule_set.h"
#include "core/task_id.h"
#include "core/ticket_id.h"
#include "job/caller_presence.h"
#include "job/entry_action.h"
#include "job/entry_core_settings.h"
#include "job/job_random.h"
#include "log/logger.h"
#include "place/interference_table.h"
#include "place/kind_quarantine.h"
#include "place/placement_lane.h"
#include "place/slot_table.h"
#include "share/expected_run_table.h"
#include "share/task_queue.h"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace teaselward
{

/** State shared by the parts of entry_core. */
struct entry_context {
    entry_context(const entry_core_settings &entrySettings, mono_time startTime, logger &decisionLog)
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
     * @param ticket ticket named by the request
     * @param answer the answer
     */
    void reply(const request_id &request, const ticket_id &ticket, job_answer answer) const
    {
        actions->push_back(reply_job{.request = request, .ticket = ticket, .answer = std::move(answer)});
    }

    /**
     * Returns the name under which agents offer a kind: its service if it is placed by service, otherwise the kind itself. A
     * kind that was removed from the rules keeps its service for the tasks that are still queued.
     * @param kind the kind
     */
    std::string_view offeredName(std::string_view kind) const
    {
        const auto found = services.find(kind);
        return found != services.end() ? std::string_view(found->second) : kind;
    }

    /**
     * Returns whether tasks of a kind may use the capacity that is reserved for high-priority kinds.
     * @param kind the kind
     */
    bool highPriority(std::string_view kind) const
    {
        if (!rules) {
            return false;
        }
        const auto found = rules->kinds.find(kind);
        return found != rules->kinds.end() && found->second.highPriority;
    }

    /**
     * Returns the endpoints that a task may use. If no shared endpoint is left, the other kinds use the isolated ones too.
     * @param kind kind of the task
     * @param isSuspect whether an endpoint has crashed under the task
     */
    placement_lane lane(std::string_view kind, bool isSuspect = false) const
    {
        if (quarantine.isEmpty()) {
            return placement_lane::shared;
        }
        const std::string_view offered = offeredName(kind);
        if (!quarantine.contains(kind)) {
            return slots.slots(offered, placement_lane::shared) > 0 ? placement_lane::shared : placement_lane::isolated;
        }
        return isSuspect && slots.hasSuspectLane() ? placement_lane::suspect : placement_lane::isolated;
    }

    entry_core_settings settings;
    mono_time start; ///< Issue times of tickets are relative to it.
    logger &log;
    task_queue queue;
    slot_table slots;
    expected_run_table expectedRuns;
    kind_quarantine quarantine;
    interference_table interference;
    caller_presence callers;
    std::shared_ptr<const rule_set> rules; ///< Null until the first configuration is applied.
    std::map<std::string, std::string, std::less<>> services; ///< Service of each kind that is placed by service.
    std::vector<task_id> obsolete; ///< Placed tasks of restartable jobs that have been answered; their runs are to be stopped.
    job_random random;
    refusal_counts refusals;
    bool isDraining = false;
    mono_time now; ///< Time of the event being handled.
    std::vector<entry_action> *actions = nullptr; ///< Output of the event being handled; null outside handle().
};

} // namespace teaselward
