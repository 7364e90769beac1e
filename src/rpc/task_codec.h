#pragma once

#include "core/agent_task_status.h"
#include "core/start_order.h"
#include "core/task_outcome.h"
#include "rpc/wire.capnp.h"

namespace teaselward
{

/**
 * Writes the outcome of a task to a message.
 * @param value the value
 * @param out part of the message
 */
void encode(const task_outcome &value, wire::TaskOutcome::Builder out);

/**
 * Reads the outcome of a task from a message.
 * @param in part of the message
 * @return the value
 */
task_outcome decode(wire::TaskOutcome::Reader in);

/**
 * Writes the state of a task that an agent holds to a message.
 * @param value the value
 * @param out part of the message
 */
void encode(const agent_task_status &value, wire::HeldTask::Builder out);

/**
 * Reads the state of a task that an agent holds from a message.
 * @param in part of the message
 * @return the value
 */
agent_task_status decode(wire::HeldTask::Reader in);

/**
 * Writes the order to start a task to a message.
 * @param value the value
 * @param out part of the message
 */
void encode(const start_order &value, wire::StartOrder::Builder out);

/**
 * Reads the order to start a task from a message.
 * @param in part of the message
 * @return the value
 */
start_order decode(wire::StartOrder::Reader in);

} // namespace teaselward
