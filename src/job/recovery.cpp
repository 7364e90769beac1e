#include "job/recovery.h"

#include <utility>

namespace teaselward
{

bool recovery::collect(std::vector<agent_task_status> held)
{
    for (agent_task_status &task : held) {
        if (task.state != agent_task_state::finished || task.id.index >= results.size()) {
            continue;
        }
        if (task.outcome.verdict == task_verdict::failed) {
            return false;
        }
        std::optional<std::string> &result = results[task.id.index];
        if (task.outcome.verdict == task_verdict::succeeded && !result) {
            result = std::move(task.outcome.body);
            --missing;
        }
    }
    return true;
}

} // namespace teaselward
