#pragma once

#include "core/task_id.h"
#include "core/ticket_id.h"

#include <string>

namespace teaselward
{

/**
 * Builds the field that names a ticket in log lines.
 * @param ticket the ticket
 * @return text such as "ticket=17/4"
 */
std::string ticketLogField(const ticket_id &ticket);

/**
 * Builds the fields that name a task in log lines.
 * @param task the task
 * @return text such as "ticket=17/4 task=0"
 */
std::string taskLogFields(const task_id &task);

} // namespace teaselward
