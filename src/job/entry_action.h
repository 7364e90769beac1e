#pragma once

#include "job/action/fence_ticket.h"
#include "job/action/finish_drain.h"
#include "job/action/forward_cancel.h"
#include "job/action/forward_job.h"
#include "job/action/forward_query.h"
#include "job/action/reply_job.h"
#include "job/action/reply_status.h"
#include "job/action/reply_tickets.h"
#include "job/action/report_usage.h"
#include "job/action/revoke_task.h"
#include "job/action/send_demand.h"
#include "job/action/send_evacuations.h"
#include "job/action/start_task.h"
#include "job/action/stop_task.h"

#include <variant>

namespace teaselward
{

/** Actions that entry_core asks its adapters to perform. */
using entry_action = std::variant<reply_tickets,
                                  reply_job,
                                  start_task,
                                  stop_task,
                                  revoke_task,
                                  fence_ticket,
                                  forward_job,
                                  forward_query,
                                  forward_cancel,
                                  send_demand,
                                  send_evacuations,
                                  report_usage,
                                  reply_status,
                                  finish_drain>;

} // namespace teaselward
