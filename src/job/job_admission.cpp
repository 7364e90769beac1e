#include "job/job_admission.h"

#include "core/concat.h"
#include "core/reason_text.h"
#include "core/task_log_fields.h"
#include "job/refusal.h"

namespace teaselward
{

job_admission::job_admission(entry_context &context, job_table &table)
    : m_context(context)
    , m_table(table)
    , m_startup(context.start, context.settings.startupWait)
{
}

admission_decision job_admission::decide(const job_request &job)
{
    admission_decision decision = evaluate(job);
    const std::optional<job_answer> &refused = decision.refused;
    m_context.refusals.add(decision.decision);
    if (m_context.log.isEnabled()) {
        m_context.log.write(log_part::admit,
                            concat(refused ? "Refused a job. " : "Admitted a job. ",
                                   ticketLogField(job.source.id),
                                   " kind=",
                                   job.kind,
                                   " team=",
                                   job.team,
                                   " tasks=",
                                   job.payloads.size(),
                                   " reason=",
                                   reasonText(refused ? refused->why : reason::none),
                                   " decision=",
                                   refusalDecisionName(decision.decision),
                                   " job=",
                                   job.key,
                                   " slots=",
                                   m_context.slots.slots(m_context.offeredName(job.kind)),
                                   " queued=",
                                   m_context.queue.size(),
                                   " rules=",
                                   m_context.rules ? m_context.rules->offset : 0));
    }
    return decision;
}

// The checks against fixed limits come first, then those that depend on the current load.
admission_decision job_admission::evaluate(const job_request &job)
{
    if (m_context.isDraining) {
        return {refusal(reason::draining), {}};
    }
    if (!m_context.rules || !m_context.rules->kinds.contains(job.kind)) {
        return {refusal(reason::unknownKind), {}};
    }
    const kind_rule &rule = m_context.rules->kinds.find(job.kind)->second;
    if (job.payloads.empty() || job.payloads.size() > rule.taskLimit || job.timeLimit.count() < 0) {
        return {refusal(reason::malformed), {}};
    }
    if (!m_table.makeRoom(m_context.now)) {
        return {refusal(reason::overloaded, CapacityRetryDelay), {}, refusal_decision::memoryLimit};
    }
    const std::string_view offered = m_context.offeredName(job.kind);
    if (m_context.quarantine.contains(job.kind) && !m_context.slots.isPlaceable(offered, m_context.now, rule.highPriority, m_context.lane(job.kind))) {
        // The isolated endpoints are away or busy, and each task that waits for them is likely to miss its deadline.
        return {refusal(reason::kindFailing, QuarantineRetryDelay), {}};
    }
    const std::size_t slots = m_context.slots.slots(offered, m_context.lane(job.kind));
    if (slots == 0 && !m_startup.admitsWithoutEndpoint(rule.stretch > 0, m_context.now)) {
        return {refusal(reason::noEndpoint, CapacityRetryDelay), {}, refusal_decision::noEndpoint};
    }
    const admission_result admitted = m_context.queue.admit(job, slots, m_context.now);
    if (admitted.why != reason::none) {
        return {refusal(admitted.why, admitted.retryAfter), {}, admitted.decision};
    }
    return {std::nullopt, m_startup.startTimeout(admitted, m_context.now)};
}

} // namespace teaselward
