#include "http/reply_writer.h"

#include "http/answer_codec.h"
#include "http/metrics_codec.h"
#include "http/status_codec.h"

#include <algorithm>
#include <array>
#include <iterator>
#include <string>
#include <utility>
#include <variant>

namespace teaselward
{

reply_writer::reply_writer(
    const ticket_codec &codec, pending_requests &callers, pending_requests &operators, std::function<std::int64_t(request_origin)> connections, logger &log)
    : m_codec(codec)
    , m_callers(callers)
    , m_operators(operators)
    , m_connections(std::move(connections))
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
    } else if (const auto *status = std::get_if<reply_status>(&action)) {
        writeStatus(*status);
    }
}

void reply_writer::onFinished(const request_finished &finished)
{
    m_metrics.countRequest(finished.origin, finished.why, finished.delivered, finished.duration);
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

void reply_writer::writeStatus(const reply_status &reply)
{
    using view_writer = http_response (reply_writer::*)(const entry_status &status) const;
    // Indexed by the value of status_view.
    static constexpr std::array<view_writer, 3> views = {&reply_writer::writeFull, &reply_writer::writeReadiness, &reply_writer::writeMetrics};
    if (const auto request = takeRequest(reply.request)) {
        resumeExchange(*request->exchange, (this->*views.at(static_cast<std::size_t>(request->view)))(reply.status));
    }
}

http_response reply_writer::writeFull(const entry_status &status) const
{
    return encodeStatus(status);
}

http_response reply_writer::writeReadiness(const entry_status &status) const
{
    return encodeReadiness(status);
}

http_response reply_writer::writeMetrics(const entry_status &status) const
{
    return encodeMetrics(status, m_metrics, m_connections(request_origin::caller), m_connections(request_origin::operators));
}

void reply_writer::answerRemaining()
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
    if (!found) {
        m_metrics.countUnmatchedAnswer();
        if (m_log.isEnabled()) {
            m_log.write(log_part::http, "Dropped an answer without a pending request. number=" + std::to_string(request.number));
        }
    }
    return found;
}

} // namespace teaselward
