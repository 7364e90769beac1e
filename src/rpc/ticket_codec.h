#pragma once

#include "core/task_id.h"
#include "core/ticket.h"
#include "rpc/wire.capnp.h"

namespace teaselward
{

/**
 * Writes a ticket identifier to a message.
 * @param value the value
 * @param out part of the message
 */
void encode(const ticket_id &value, wire::TicketId::Builder out);

/**
 * Reads a ticket identifier from a message.
 * @param in part of the message
 * @return the value
 */
ticket_id decode(wire::TicketId::Reader in);

/**
 * Writes a ticket to a message.
 * @param value the value
 * @param out part of the message
 */
void encode(const ticket &value, wire::Ticket::Builder out);

/**
 * Reads a ticket from a message.
 * @param in part of the message
 * @return the value
 */
ticket decode(wire::Ticket::Reader in);

/**
 * Writes a task identifier to a message.
 * @param value the value
 * @param out part of the message
 */
void encode(const task_id &value, wire::TaskId::Builder out);

/**
 * Reads a task identifier from a message.
 * @param in part of the message
 * @return the value
 */
task_id decode(wire::TaskId::Reader in);

} // namespace teaselward
