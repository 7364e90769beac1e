#pragma once

#include "agent/run/list_runs.h"
#include "agent/run/list_runs_result.h"
#include "agent/run/start_run.h"
#include "agent/run/stop_run.h"

#include <string>
#include <string_view>

namespace teaselward
{

/** @param call the call @return body of the request */
std::string encodeCall(const start_run &call);

/** @copydoc encodeCall(const start_run &) */
std::string encodeCall(const stop_run &call);

/** @copydoc encodeCall(const start_run &) */
std::string encodeCall(const list_runs &call);

/**
 * Reads how a worker answered a call.
 * @param status status of HTTP
 * @param body body of the answer
 * @return the result; unanswered if the answer breaks the protocol
 */
call_result decodeResult(long status, std::string_view body);

/**
 * Reads the lists of runs.
 * @param body body of the answer
 * @param lists set to their content
 * @return false if the body is malformed
 */
bool decodeLists(std::string_view body, list_runs_result &lists);

} // namespace teaselward
