#pragma once

#include "core/job_answer.h"
#include "http/caller_transport.h"
#include "http/submit_settings.h"

#include <memory>
#include <string>
#include <vector>

namespace teaselward
{

namespace detail
{
class submit_session_private;
}

/**
 * Submits one job with retries. After a lost connection or a temporary refusal it submits the same ticket again, possibly to
 * another entry, so that no task runs twice even if responses are lost. It requests a new ticket only after a refusal that says
 * "not run".
 */
class submit_session
{
public:
    /**
     * Creates a session.
     * @param settings settings of the submission
     * @param transport sends the requests to the entries; it must outlive the session
     */
    submit_session(const submit_settings &settings, caller_transport &transport);
    ~submit_session();

    submit_session(const submit_session &) = delete;
    submit_session &operator=(const submit_session &) = delete;

    /**
     * Submits the job and waits for its answer.
     * @param payloads one payload for each task
     * @return the final answer. It is failed with outcome_unknown if no answer came within the time limit, or if the last
     * refusal says "not run" but an earlier submission of the ticket had no answer.
     */
    job_answer run(const std::vector<std::string> &payloads);

private:
    std::unique_ptr<detail::submit_session_private> d;
};

} // namespace teaselward
