#include "share/task_queue.h"

#include <algorithm>
#include <deque>
#include <utility>

namespace teaselward
{

namespace detail
{

/** First-in, first-out queue without sharing. */
class task_queue_private
{
public:
    std::deque<queued_task> tasks;
    std::shared_ptr<const rule_set> rules;
};

} // namespace detail

task_queue::task_queue()
    : d(std::make_unique<detail::task_queue_private>())
{
}

task_queue::~task_queue() = default;

void task_queue::setRules(std::shared_ptr<const rule_set> rules)
{
    d->rules = std::move(rules);
}

admission_result task_queue::admit(const job_request &job, std::size_t slots, mono_time /*now*/)
{
    const auto retry = std::chrono::seconds(1);
    if (!d->rules || !d->rules->kinds.contains(job.kind)) {
        return {.why = reason::unknownKind, .retryAfter = {}};
    }
    if (!d->rules->teams.empty() && !d->rules->teams.contains(job.team)) {
        return {.why = reason::unknownTeam, .retryAfter = {}};
    }
    if (slots == 0) {
        return {.why = reason::noEndpoint, .retryAfter = retry};
    }
    if (d->tasks.size() + job.payloads.size() > d->rules->kinds.find(job.kind)->second.queueLimit) {
        return {.why = reason::queueFull, .retryAfter = retry};
    }
    return {};
}

void task_queue::push(queued_task task, mono_time /*now*/)
{
    d->tasks.push_back(std::move(task));
}

void task_queue::putBack(queued_task task)
{
    d->tasks.push_front(std::move(task));
}

std::optional<queued_task> task_queue::pop(const std::function<bool(std::string_view)> &placeable, mono_time /*now*/)
{
    const auto found = std::find_if(d->tasks.begin(), d->tasks.end(), [&](const queued_task &task) {
        return placeable(task.kind);
    });
    if (found == d->tasks.end()) {
        return std::nullopt;
    }
    queued_task task = std::move(*found);
    d->tasks.erase(found);
    return task;
}

std::size_t task_queue::removeJob(const ticket_id &ticket)
{
    return std::erase_if(d->tasks, [&](const queued_task &task) {
        return task.id.ticket == ticket;
    });
}

std::vector<queued_task> task_queue::takeExpired(mono_time now)
{
    std::vector<queued_task> expired;
    std::erase_if(d->tasks, [&](queued_task &task) {
        if (task.deadline > now) {
            return false;
        }
        expired.push_back(std::move(task));
        return true;
    });
    return expired;
}

void task_queue::finish(const queued_task & /*task*/, const task_outcome & /*outcome*/, mono_time /*now*/)
{
}

std::size_t task_queue::size() const
{
    return d->tasks.size();
}

std::vector<team_usage> task_queue::takeUsage()
{
    return {};
}

void task_queue::setPeerUsage(const entry_id & /*peer*/, std::vector<team_usage> /*usage*/, mono_time /*now*/)
{
}

void task_queue::setEntryCount(std::size_t /*entries*/)
{
}

std::vector<queue_status> task_queue::status() const
{
    return {};
}

} // namespace teaselward
