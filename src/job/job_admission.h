#pragma once

#include "core/job_request.h"
#include "job/admission_decision.h"
#include "job/entry_context.h"
#include "job/job_table.h"
#include "job/startup_wait.h"

#include <chrono>
#include <optional>

namespace teaselward
{

/** Decides which new jobs are accepted. No task of a refused job has been started. */
class job_admission
{
public:
    /** Delay suggested to callers that are refused for lack of memory or endpoints. Both are freed continuously, so it is short. */
    static constexpr std::chrono::milliseconds CapacityRetryDelay{1000};

    /** Delay suggested to callers whose kind is quarantined. A crashed endpoint is back after a few seconds. */
    static constexpr std::chrono::milliseconds QuarantineRetryDelay{3000};

    /**
     * Creates the admission control.
     * @param context state shared by the parts of the entry
     * @param table jobs of this incarnation
     */
    job_admission(entry_context &context, job_table &table);

    /**
     * Decides on a new job and logs the decision. The tasks of an accepted job are counted as in progress.
     * @param job the submission
     * @return the decision
     */
    admission_decision decide(const job_request &job);

private:
    admission_decision evaluate(const job_request &job);

    entry_context &m_context;
    job_table &m_table;
    startup_wait m_startup;
};

} // namespace teaselward
