#include "job/job_manager.h"

// Jobs whose endpoints are in evacuated failure domains.

namespace teaselward
{

bool job_manager::refuseIfUnplaceable(job_record &job)
{
    if (job.started > 0 || job.hasRun || m_context.slots.slots(m_context.offeredName(job.kind)) > 0) {
        return false;
    }
    job_answer answer;
    answer.state = job_state::failed;
    answer.why = reason::noEndpoint;
    answer.notRun = true;
    answer.retryAfter = job_admission::CapacityRetryDelay;
    settle(job, answer);
    return true;
}

// The jobs are collected first, because a refusal removes its job from the table.
void job_manager::refuseUnplaceable()
{
    for (const std::uint64_t sequence : m_table.running()) {
        refuseIfUnplaceable(*m_table.findRunning(sequence));
    }
}

// Without this, a job whose first start an agent has held and then refused would be refused although other failure domains have free
// capacity.
void job_manager::renewStartTimeout(job_record &job)
{
    if (job.startTimeout.count() > 0 && !job.startTimer && job.started == 0 && !job.hasRun) {
        job.startTimer = m_startTimers.schedule(m_context.now + job.startTimeout, job.sequence);
    }
}

} // namespace teaselward
