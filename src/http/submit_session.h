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
 * Submits one job and keeps to its ticket: after a lost connection or a refusal that may pass, the same ticket is submitted
 * again, also at other entries. So no task runs twice, whatever gets lost.
 */
class submit_session
{
public:
    /**
     * Creates a session.
     * @param settings settings of the submission
     * @param transport way to the entries; it must outlive the session
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
