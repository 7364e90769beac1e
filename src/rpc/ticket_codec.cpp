#include "rpc/ticket_codec.h"

#include "rpc/text_codec.h"

namespace teaselward
{

void encode(const ticket_id &value, wire::TicketId::Builder out)
{
    out.setIncarnation(value.incarnation);
    out.setSequence(value.sequence);
}

ticket_id decode(wire::TicketId::Reader in)
{
    return {in.getIncarnation(), in.getSequence()};
}

void encode(const ticket &value, wire::Ticket::Builder out)
{
    out.setHome(toWireText(value.home));
    encode(value.id, out.initId());
    out.setIssuedAtMs(value.issuedAt.count());
}

ticket decode(wire::Ticket::Reader in)
{
    return {fromWireText(in.getHome()), decode(in.getId()), fromWireDuration<std::chrono::milliseconds>(in.getIssuedAtMs())};
}

void encode(const task_id &value, wire::TaskId::Builder out)
{
    encode(value.ticket, out.initTicket());
    out.setIndex(value.index);
    out.setAttempt(value.attempt);
}

task_id decode(wire::TaskId::Reader in)
{
    return {decode(in.getTicket()), in.getIndex(), in.getAttempt()};
}

} // namespace teaselward
