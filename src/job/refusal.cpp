#include "job/refusal.h"

namespace teaselward
{

namespace
{

// Returns whether the reason of a refusal proves that no task was or will be started.
bool saysNotRun(reason why)
{
    switch (why) {
    case reason::malformed:
    case reason::tooLarge:
    case reason::badTicket:
    case reason::unknownKind:
    case reason::unknownTeam:
    case reason::noEndpoint:
    case reason::quotaExceeded:
    case reason::queueFull:
    case reason::overloaded:
    case reason::deadlineUnreachable:
    case reason::draining:
    case reason::kindFailing:
    case reason::ticketClosed:
    case reason::evacuated:
        return true;
    default:
        return false;
    }
}

} // namespace

job_answer refusal(reason why, std::chrono::milliseconds retryAfter)
{
    job_answer answer;
    answer.state = job_state::refused;
    answer.why = why;
    answer.notRun = saysNotRun(why);
    answer.retryAfter = retryAfter;
    return answer;
}

} // namespace teaselward
