#pragma once

#include "job/event/agent_joined.h"
#include "job/event/agent_leaving.h"
#include "job/event/agent_lost.h"
#include "job/event/callers_checked.h"
#include "job/event/credits_granted.h"
#include "job/event/drain_started.h"
#include "job/event/endpoint_crashed.h"
#include "job/event/evacuations_reported.h"
#include "job/event/forward_answered.h"
#include "job/event/interference_reported.h"
#include "job/event/job_cancelled.h"
#include "job/event/job_queried.h"
#include "job/event/job_submitted.h"
#include "job/event/keyed_job_submitted.h"
#include "job/event/peer_joined.h"
#include "job/event/peer_lost.h"
#include "job/event/peer_reported.h"
#include "job/event/request_abandoned.h"
#include "job/event/rules_applied.h"
#include "job/event/start_unanswered.h"
#include "job/event/status_requested.h"
#include "job/event/task_finished.h"
#include "job/event/task_revoked.h"
#include "job/event/ticket_fenced.h"
#include "job/event/ticket_requested.h"
#include "job/event/timer_fired.h"

#include <variant>

namespace teaselward
{

/** Events that change the state of entry_core. */
using entry_event = std::variant<ticket_requested,
                                 job_submitted,
                                 keyed_job_submitted,
                                 request_abandoned,
                                 callers_checked,
                                 job_queried,
                                 job_cancelled,
                                 agent_joined,
                                 agent_lost,
                                 agent_leaving,
                                 endpoint_crashed,
                                 evacuations_reported,
                                 interference_reported,
                                 credits_granted,
                                 task_finished,
                                 start_unanswered,
                                 task_revoked,
                                 ticket_fenced,
                                 forward_answered,
                                 peer_joined,
                                 peer_lost,
                                 peer_reported,
                                 rules_applied,
                                 status_requested,
                                 timer_fired,
                                 drain_started>;

} // namespace teaselward
