#pragma once

#include "core/entry_status.h"
#include "http/http_response.h"
#include "metrics/request_metrics.h"

#include <cstdint>

namespace teaselward
{

/**
 * Encodes the metrics of an entry in the text exposition format.
 * @param status state of the entry
 * @param requests metrics of the requests
 * @param callerConnections open connections of callers
 * @param operatorConnections open connections of operators
 * @return response with status 200
 */
http_response encodeMetrics(const entry_status &status, const request_metrics &requests, std::int64_t callerConnections, std::int64_t operatorConnections);

} // namespace teaselward
