#pragma once

#include "core/entry_status.h"
#include "http/http_response.h"

namespace teaselward
{

/**
 * Encodes the status of an entry for operators.
 * @param status the status
 * @return response with status 200
 */
http_response encodeStatus(const entry_status &status);

/**
 * Encodes whether an entry accepts work, for the platform's load balancer.
 * @param status the status
 * @return response with status 200, or 503 if the entry drains or knows no rules
 */
http_response encodeReadiness(const entry_status &status);

/** @return response with status 200, which says that the process is alive */
http_response encodeLiveness();

/**
 * Encodes that a drain was started.
 * @param bound maximum time until the process stops
 * @return response with status 202
 */
http_response encodeDrainStarted(std::chrono::milliseconds bound);

} // namespace teaselward
