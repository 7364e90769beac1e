#pragma once

#include "agent/action/announce_leaving.h"
#include "agent/action/answer_fence.h"
#include "agent/action/answer_revoke.h"
#include "agent/action/answer_start.h"
#include "agent/action/call_endpoint.h"
#include "agent/action/confirm_home.h"
#include "agent/action/end_sessions.h"
#include "agent/action/finish_agent_drain.h"
#include "agent/action/grant_credits.h"
#include "agent/action/report_crash.h"
#include "agent/action/report_evacuations.h"
#include "agent/action/report_interference.h"
#include "agent/action/stop_call.h"

#include <variant>

namespace teaselward
{

/** Any action that agent_core requests from its adapters. */
using agent_action = std::variant<answer_start,
                                  answer_revoke,
                                  answer_fence,
                                  call_endpoint,
                                  stop_call,
                                  confirm_home,
                                  end_sessions,
                                  grant_credits,
                                  announce_leaving,
                                  report_crash,
                                  report_evacuations,
                                  report_interference,
                                  finish_agent_drain>;

} // namespace teaselward
