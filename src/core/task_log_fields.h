#pragma once

#include "core/task_id.h"
#include "core/ticket_id.h"

#include <string>

namespace teaselward
{

/**
 * Formats the log field that identifies a ticket.
 * @param ticket the ticket
 * @return text such as "ticket=17/4"
 */
std::string ticketLogField(const ticket_id &ticket);

/**
 * Formats the log fields that identify a task.
 * @param task the task
 * @return text such as "ticket=17/4 task=0", with " attempt=N" if the task may start more than once
 */
std::string taskLogFields(const task_id &task);

} // namespace teaselward
