#pragma once

#include "core/job_request.h"
#include "job/admission_decision.h"
#include "job/entry_context.h"
#include "job/job_table.h"

#include <chrono>
#include <optional>

namespace teaselward
{

/** Decides which new jobs are accepted; nothing of a refused job has been started. */
class job_admission
{
public:
    /** Time after which a caller may try again while memory or endpoints are missing. Both come back steadily. */
    static constexpr std::chrono::milliseconds CapacityRetryDelay{1000};

    /**
     * Creates the admission.
     * @param context what the parts of the entry share
     * @param table jobs that are kept
     */
    job_admission(entry_context &context, job_table &table);

    /**
     * Decides on a new job and counts its tasks as in progress if it is accepted.
     * @param job the submission
     * @return the verdict
     */
    admission_decision decide(const job_request &job);

private:
    admission_decision evaluate(const job_request &job);

    entry_context &m_context;
    job_table &m_table;
};

} // namespace teaselward
