#include "http/operator_api.h"

#include "http/answer_codec.h"
#include "http/request_codec.h"
#include "http/route_dispatch.h"
#include "http/status_codec.h"

#include <algorithm>
#include <array>
#include <utility>

namespace teaselward
{

namespace
{

// Answer to a request that was posted to the decision thread but not answered when the front end stopped.
job_answer stoppedAnswer()
{
    job_answer answer;
    answer.why = reason::draining;
    return answer;
}

} // namespace

operator_api::operator_api(const front_end_settings &settings, const ticket_codec &codec, event_dispatcher &dispatcher, finish_reporter &reporter)
    : m_settings(settings)
    , m_codec(codec)
    , m_dispatcher(dispatcher)
    , m_reporter(reporter)
    , m_token(settings.adminToken)
{
}

// The load balancer has no token, so its two routes need none and are checked first.
bool operator_api::handle(http_exchange &exchange)
{
    static constexpr std::array publicRoutes = {
        http_route<operator_api>{"GET", "/healthz", &operator_api::reportLiveness},
        http_route<operator_api>{"GET", "/readyz", &operator_api::reportReadiness},
    };
    static constexpr std::array routes = {
        http_route<operator_api>{"GET", "/v1/status", &operator_api::reportStatus},
        http_route<operator_api>{"GET", "/metrics", &operator_api::reportMetrics},
        http_route<operator_api>{"POST", "/v1/drain", &operator_api::startDrain},
        http_route<operator_api>{"POST", "/v1/jobs/*/cancel", &operator_api::cancelJob},
    };
    const bool isPublic = std::any_of(publicRoutes.begin(), publicRoutes.end(), [&exchange](const auto &route) {
        return route.pattern == exchange.request.path;
    });
    if (isPublic) {
        return dispatchRoute<operator_api>(publicRoutes, *this, exchange);
    }
    if (!m_token.allows(exchange.request.authorization)) {
        exchange.response = encodeRefusal(reason::unauthorized, true, {});
        return true;
    }
    return dispatchRoute<operator_api>(routes, *this, exchange);
}

http_response operator_api::refuseBody(reason why)
{
    const bool tooLarge = why == reason::tooLarge;
    return encodeRefusal(why, true, tooLarge ? "the body has more than " + std::to_string(m_settings.bodyLimit) + " bytes" : std::string());
}

void operator_api::finished(const http_response &response, bool delivered, std::chrono::microseconds duration)
{
    m_reporter.report(response, delivered, duration);
}

bool operator_api::reportLiveness(http_exchange &exchange, std::string_view /*argument*/)
{
    exchange.response = encodeLiveness();
    return true;
}

bool operator_api::reportReadiness(http_exchange &exchange, std::string_view /*argument*/)
{
    return requestStatus(exchange, status_view::readiness);
}

bool operator_api::reportStatus(http_exchange &exchange, std::string_view /*argument*/)
{
    return requestStatus(exchange, status_view::full);
}

bool operator_api::reportMetrics(http_exchange &exchange, std::string_view /*argument*/)
{
    return requestStatus(exchange, status_view::metrics);
}

bool operator_api::startDrain(http_exchange &exchange, std::string_view /*argument*/)
{
    auto bound = m_settings.drainBound;
    const std::string error = decodeDrainRequest(exchange.request.body, bound);
    if (!error.empty()) {
        exchange.response = encodeRefusal(reason::malformed, true, error);
    } else if (m_dispatcher.notify(drain_started{bound})) {
        exchange.response = encodeDrainStarted(bound);
    } else {
        exchange.response = encodeRefusal(reason::overloaded, true, {});
    }
    return true;
}

// If the event cannot be posted, the refusal proves nothing about the job, so it does not say "not run".
bool operator_api::cancelJob(http_exchange &exchange, std::string_view argument)
{
    auto source = m_codec.decode(argument);
    if (!source) {
        exchange.response = encodeRefusal(reason::badTicket, true, {});
        return true;
    }
    job_cancelled event;
    event.source = std::move(*source);
    return m_dispatcher.dispatch(exchange, std::move(event), stoppedAnswer(), false);
}

bool operator_api::requestStatus(http_exchange &exchange, status_view view)
{
    return m_dispatcher.dispatch(exchange, status_requested{}, stoppedAnswer(), false, view);
}

} // namespace teaselward
