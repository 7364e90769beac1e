#pragma once

#include "core/job_answer.h"
#include "core/job_request.h"
#include "rpc/wire.capnp.h"

namespace teaselward
{

/**
 * Writes a submission to a message.
 * @param value the value
 * @param out part of the message
 */
void encode(const job_request &value, wire::JobRequest::Builder out);

/**
 * Reads a submission from a message.
 * @param in part of the message
 * @return the value
 */
job_request decode(wire::JobRequest::Reader in);

/**
 * Writes the answer to a job to a message.
 * @param value the value
 * @param out part of the message
 */
void encode(const job_answer &value, wire::JobAnswer::Builder out);

/**
 * Reads the answer to a job from a message.
 * @param in part of the message
 * @return the value
 */
job_answer decode(wire::JobAnswer::Reader in);

} // namespace teaselward
