#include "agent/agent_core_private.h"

#include "core/concat.h"

#include <algorithm>
#include <chrono>
#include <string>
#include <utility>

// Reporting a crash of the endpoint.

namespace teaselward::detail
{

// Reports the kinds of the started runs to the entries and refuses all further starts: the endpoint is gone, and the agent joins
// under a new id once it is back.
void agent_core_private::reportCrash(const call_finished &first)
{
    m_hasCrashed = true;
    m_credits.close();
    crash_suspects suspects;
    for (const auto &[id, task] : m_running) {
        if (std::ranges::find(first.unstarted, id) == first.unstarted.end()) {
            suspects.add(task.kind, std::chrono::duration_cast<std::chrono::milliseconds>(m_now - task.startedAt), task.crashAge);
        }
    }
    std::vector<crash_suspect> kinds = suspects.list();
    if (m_log.isEnabled()) {
        logCrash(suspects, kinds);
    }
    m_actions->push_back(report_crash{.suspects = std::move(kinds)});
    refuseAllHeld(
        [](const held_start & /*held*/) {
            return true;
        },
        reason::draining);
}

void agent_core_private::logCrash(const crash_suspects &suspects, const std::vector<crash_suspect> &kinds)
{
    std::string all;
    std::string repeated;
    for (const crash_suspect &one : kinds) {
        all += concat(all.empty() ? "" : ",", one.kind);
        if (one.isRepeated) {
            repeated += concat(repeated.empty() ? "" : ",", one.kind);
        }
    }
    m_log.write(log_part::agent,
                concat("The endpoint has crashed; refusing starts. runs=",
                       suspects.runs(),
                       " kinds=",
                       all,
                       " youngest_ms=",
                       suspects.youngestAge().count(),
                       " repeated=",
                       repeated));
}

} // namespace teaselward::detail
