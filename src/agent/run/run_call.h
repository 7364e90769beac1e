#pragma once

#include "agent/run/list_runs.h"
#include "agent/run/start_run.h"
#include "agent/run/stop_run.h"

#include <variant>

namespace teaselward
{

/** Any call of an agent to its endpoint. */
using run_call = std::variant<start_run, stop_run, list_runs>;

} // namespace teaselward
