#include "http/reason_status.h"

#include <array>
#include <cstddef>

namespace teaselward
{

namespace
{

// Indexed by the value of the enumerator.
constexpr std::array<unsigned, 29> Statuses = {
    200, // none
    400, // malformed
    413, // too_large
    400, // bad_ticket
    410, // ticket_expired
    409, // ticket_reused
    422, // unknown_kind
    403, // unknown_team
    503, // no_endpoint
    429, // quota_exceeded
    429, // queue_full
    503, // overloaded
    503, // deadline_unreachable
    503, // draining
    502, // home_unreachable
    503, // kind_failing
    502, // task_failed
    504, // deadline_exceeded
    409, // cancelled
    502, // outcome_unknown
    404, // unknown_job
    503, // log_unavailable
    409, // conflict
    422, // invalid
    502, // version_mismatch
    401, // unauthorized
    409, // ticket_closed
    502, // run_stalled
    503, // evacuated
};

} // namespace

unsigned reasonStatus(reason why)
{
    return Statuses.at(static_cast<std::size_t>(why));
}

} // namespace teaselward
