#include "core/task_log_fields.h"

#include "core/concat.h"

namespace teaselward
{

std::string ticketLogField(const ticket_id &ticket)
{
    return concat("ticket=", ticket.incarnation, "/", ticket.sequence);
}

std::string taskLogFields(const task_id &task)
{
    std::string text = concat(ticketLogField(task.ticket), " task=", task.index);
    return task.attempt == 0 ? text : concat(text, " attempt=", task.attempt);
}

} // namespace teaselward
