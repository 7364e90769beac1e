#include "job/waiter_table.h"

#include "job/job_admission.h"
#include "job/refusal.h"

#include <algorithm>
#include <utility>

namespace teaselward
{

namespace
{

// Limits the memory that a caller can use by repeating a request. Normally there is one request per job, and a few more if the
// caller retries.
constexpr std::size_t MaxWaiters = 64;

} // namespace

waiter_table::waiter_table(entry_context &context)
    : m_context(context)
{
}

void waiter_table::add(job_record &job, const request_id &request, const ticket_id &ticket, std::optional<std::chrono::milliseconds> wait, mono_time seenAt)
{
    if (wait && wait->count() <= 0) {
        replyRunning(request, ticket);
        return;
    }
    if (job.waiters.size() >= MaxWaiters) {
        job_answer busy = refusal(reason::overloaded, job_admission::CapacityRetryDelay);
        busy.notRun = false;
        m_context.reply(request, ticket, std::move(busy));
        return;
    }
    job_waiter waiter{.request = request, .ticket = ticket, .timer = std::nullopt, .seenAt = seenAt};
    if (wait) {
        waiter.timer = m_waits.schedule(m_context.now + *wait, {.sequence = job.sequence, .request = request});
    }
    job.waiters.push_back(waiter);
}

void waiter_table::answer(job_record &job, const job_answer &answer)
{
    for (const job_waiter &waiter : job.waiters) {
        if (waiter.timer) {
            m_waits.cancel(*waiter.timer);
        }
        m_context.reply(waiter.request, waiter.ticket, answer);
    }
    job.waiters.clear();
}

void waiter_table::runTimers(job_table &jobs)
{
    while (const auto wait = m_waits.takeDue(m_context.now)) {
        auto &waiters = jobs.findRunning(wait->sequence)->waiters;
        const auto found = std::ranges::find(waiters, wait->request, &job_waiter::request);
        replyRunning(wait->request, found->ticket);
        waiters.erase(found);
    }
}

// Replies that the job is still running.
void waiter_table::replyRunning(const request_id &request, const ticket_id &ticket)
{
    job_answer running;
    running.state = job_state::running;
    m_context.reply(request, ticket, std::move(running));
}

mono_time waiter_table::nextDue() const
{
    return m_waits.nextDue();
}

} // namespace teaselward
