#include "http/caller_api.h"

#include "http/answer_codec.h"
#include "http/request_codec.h"
#include "http/route_dispatch.h"

#include <array>
#include <string>
#include <utility>

namespace teaselward
{

namespace
{

bool refuse(http_exchange &exchange, reason why, std::string_view detail)
{
    exchange.response = encodeRefusal(why, true, detail);
    return true;
}

std::string rangeText(std::string_view field, std::uint64_t first, std::uint64_t last)
{
    return "'" + std::string(field) + "' is not between " + std::to_string(first) + " and " + std::to_string(last);
}

// Answer to a request that was posted to the decision thread but not answered when the front end stopped.
job_answer unanswered(job_state state, reason why, bool notRun)
{
    job_answer answer;
    answer.state = state;
    answer.why = why;
    answer.notRun = notRun;
    return answer;
}

} // namespace

caller_api::caller_api(const front_end_settings &settings, const ticket_codec &codec, event_dispatcher &dispatcher, finish_reporter &reporter)
    : m_settings(settings)
    , m_codec(codec)
    , m_dispatcher(dispatcher)
    , m_reporter(reporter)
{
}

bool caller_api::handle(http_exchange &exchange)
{
    static constexpr std::array routes = {
        http_route<caller_api>{"POST", "/v1/tickets", &caller_api::issueTickets},
        http_route<caller_api>{"POST", "/v1/jobs", &caller_api::submitJob},
        http_route<caller_api>{"GET", "/v1/jobs/*", &caller_api::queryJob},
        http_route<caller_api>{"POST", "/v1/jobs/*/cancel", &caller_api::cancelJob},
    };
    return dispatchRoute<caller_api>(routes, *this, exchange);
}

http_response caller_api::refuseBody(reason why)
{
    const bool tooLarge = why == reason::tooLarge;
    return encodeRefusal(why, true, tooLarge ? "the body has more than " + std::to_string(m_settings.bodyLimit) + " bytes" : std::string());
}

void caller_api::finished(const http_response &response, bool delivered, std::chrono::microseconds duration)
{
    m_reporter.report(response, delivered, duration);
}

bool caller_api::issueTickets(http_exchange &exchange, std::string_view /*argument*/)
{
    tickets_request request;
    const std::string error = decodeTicketsRequest(exchange.request.body, request);
    if (!error.empty()) {
        return refuse(exchange, reason::malformed, error);
    }
    if (request.count == 0 || request.count > m_settings.ticketLimit) {
        return refuse(exchange, reason::malformed, rangeText("count", 1, m_settings.ticketLimit));
    }
    ticket_requested event;
    event.count = static_cast<std::uint32_t>(request.count);
    return m_dispatcher.dispatch(exchange, event, unanswered(job_state::refused, reason::draining, true), true);
}

bool caller_api::submitJob(http_exchange &exchange, std::string_view /*argument*/)
{
    submission_request request;
    const std::string error = decodeSubmission(exchange.request.body, m_settings.taskLimit, request);
    if (!error.empty()) {
        return refuse(exchange, reason::malformed, error);
    }
    if (request.timeLimitMs > static_cast<std::uint64_t>(m_settings.timeLimit.count())) {
        return refuse(exchange, reason::malformed, rangeText("time_limit_ms", 0, static_cast<std::uint64_t>(m_settings.timeLimit.count())));
    }
    auto source = m_codec.decode(request.ticket);
    if (!source) {
        return refuse(exchange, reason::badTicket, {});
    }
    std::string().swap(exchange.request.body); // Frees the second copy of the payloads while the job runs.
    job_submitted event;
    event.job.source = std::move(*source);
    event.job.team = std::move(request.team);
    event.job.kind = std::move(request.kind);
    event.job.timeLimit = std::chrono::milliseconds(request.timeLimitMs);
    event.job.payloads = std::move(request.tasks);
    event.job.key = std::move(request.key);
    // An earlier submission of the same ticket may be running, so only a refusal of the first attempt proves that no task runs.
    return m_dispatcher.dispatch(exchange, std::move(event), unanswered(job_state::failed, reason::outcomeUnknown, false), request.firstAttempt);
}

// Unless the ticket is invalid, a refusal of a query or a cancellation proves nothing about the job, so it does not say "not run".
bool caller_api::queryJob(http_exchange &exchange, std::string_view argument)
{
    const auto wait = decodeTime(exchange.request.waitText, m_settings.timeLimit);
    if (!wait) {
        exchange.response = encodeRefusal(reason::malformed, false, rangeText("wait_ms", 0, static_cast<std::uint64_t>(m_settings.timeLimit.count())));
        return true;
    }
    auto source = m_codec.decode(argument);
    if (!source) {
        return refuse(exchange, reason::badTicket, {});
    }
    job_queried event;
    event.source = std::move(*source);
    event.wait = *wait;
    return m_dispatcher.dispatch(exchange, std::move(event), unanswered(job_state::refused, reason::draining, false), false);
}

bool caller_api::cancelJob(http_exchange &exchange, std::string_view argument)
{
    auto source = m_codec.decode(argument);
    if (!source) {
        return refuse(exchange, reason::badTicket, {});
    }
    job_cancelled event;
    event.source = std::move(*source);
    return m_dispatcher.dispatch(exchange, std::move(event), unanswered(job_state::refused, reason::draining, false), false);
}

} // namespace teaselward
