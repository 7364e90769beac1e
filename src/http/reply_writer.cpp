#include "http/reply_writer.h"

#include "http/answer_codec.h"

#include <algorithm>
#include <iterator>
#include <variant>

namespace teaselward
{

reply_writer::reply_writer(const ticket_codec &codec, pending_requests &callers, pending_requests &operators, decision_log &log)
    : m_codec(codec)
    , m_callers(callers)
    , m_operators(operators)
    , m_log(log)
{
}

void reply_writer::apply(const http_reply &reply)
{
    if (const auto *action = std::get_if<entry_action>(&reply)) {
        onAction(*action);
    } else if (const auto *finished = std::get_if<request_finished>(&reply)) {
        onFinished(*finished);
    }
}

void reply_writer::onAction(const entry_action &action)
{
    if (const auto *tickets = std::get_if<reply_tickets>(&action)) {
        writeTickets(*tickets);
    } else if (const auto *answer = std::get_if<reply_job>(&action)) {
        writeAnswer(*answer);
    }
}

void reply_writer::onFinished(const request_finished & /*finished*/)
{
}

void reply_writer::writeTickets(const reply_tickets &reply)
{
    const auto request = takeRequest(reply.request);
    if (!request) {
        return;
    }
    if (reply.why != reason::none) {
        resumeExchange(*request->exchange, encodeRefusal(reply.why, true, {}));
        return;
    }
    std::vector<std::string> texts;
    texts.reserve(reply.tickets.size());
    std::transform(reply.tickets.begin(), reply.tickets.end(), std::back_inserter(texts), [this](const ticket &value) {
        return m_codec.encode(value);
    });
    resumeExchange(*request->exchange, encodeTickets(texts));
}

void reply_writer::writeAnswer(const reply_job &reply)
{
    if (const auto request = takeRequest(reply.request)) {
        resumeExchange(*request->exchange, encodeAnswer(reply.answer));
    }
}

void reply_writer::answerRest()
{
    for (pending_requests *pending : {&m_callers, &m_operators}) {
        for (const pending_request &request : pending->close()) {
            resumeExchange(*request.exchange, encodeAnswer(request.unanswered));
        }
    }
}

std::optional<pending_request> reply_writer::takeRequest(const request_id &request)
{
    auto found = (request.origin == request_origin::operators ? m_operators : m_callers).take(request.number);
    if (!found && m_log.isEnabled()) {
        m_log.write(log_part::http, "answer has no waiting request number=" + std::to_string(request.number));
    }
    return found;
}

} // namespace teaselward
