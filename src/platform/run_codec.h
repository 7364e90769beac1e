#pragma once

#include "agent/run/list_runs.h"
#include "agent/run/list_runs_result.h"
#include "agent/run/start_run.h"
#include "agent/run/stop_run.h"

#include <string>
#include <string_view>

namespace teaselward
{

/** Encodes a call to a worker. @param call the call @return body of the request */
std::string encodeCall(const start_run &call);

/** @copydoc encodeCall(const start_run &) */
std::string encodeCall(const stop_run &call);

/** @copydoc encodeCall(const start_run &) */
std::string encodeCall(const list_runs &call);

/**
 * Decodes the response of a worker to a call.
 * @param status HTTP status
 * @param body body of the response
 * @return the result; unanswered if the response violates the protocol
 */
call_result decodeResult(long status, std::string_view body);

/**
 * Decodes the response to list_runs.
 * @param body body of the response
 * @param lists set to their content
 * @return false if the body is malformed
 */
bool decodeLists(std::string_view body, list_runs_result &lists);

} // namespace teaselward
