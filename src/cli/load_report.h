#pragma once

#include "core/job_answer.h"
#include "core/reason.h"
#include "metrics/duration_distribution.h"
#include "metrics/value_distribution.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <ostream>
#include <utility>

namespace teaselward
{

/** Results of a load run. */
class load_report
{
public:
    /** Counts a job that was not sent, because too many jobs were in progress or because no ticket was left. */
    void countSkipped();

    /** Counts a job whose connection failed or whose request timed out before an answer came. */
    void countLost();

    /**
     * Counts an answer.
     * @param answer the answer
     * @param response time from the job's arrival to its answer
     * @param ideal run time of the longest task plus one round trip; zero if it is unknown
     */
    void countAnswer(const job_answer &answer, std::chrono::microseconds response, std::chrono::microseconds ideal);

    /** @return number of jobs that were answered or lost */
    std::uint64_t ended() const;

    /**
     * Prints all results.
     * @param out receives the text
     * @param elapsed time from the first arrival to the last answer
     */
    void print(std::ostream &out, std::chrono::microseconds elapsed) const;

private:
    std::map<std::pair<reason, bool>, std::uint64_t> m_reasons; ///< Jobs that were not complete, by reason and "not run" flag.
    duration_distribution m_complete;
    duration_distribution m_refused;
    value_distribution m_ratio;
    std::uint64_t m_tasks = 0; ///< Tasks of complete jobs.
    std::uint64_t m_skipped = 0;
    std::uint64_t m_lost = 0;
    std::uint64_t m_answered = 0;
};

} // namespace teaselward
