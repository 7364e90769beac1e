#include "core/task_text.h"

#include "core/concat.h"

namespace teaselward
{

std::string ticketText(const ticket_id &ticket)
{
    return concat("ticket=", ticket.incarnation, "/", ticket.sequence);
}

std::string taskText(const task_id &task)
{
    std::string text = concat(ticketText(task.ticket), " task=", task.index);
    return task.attempt == 0 ? text : concat(text, " attempt=", task.attempt);
}

} // namespace teaselward
