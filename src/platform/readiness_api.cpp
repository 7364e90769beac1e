#include "platform/readiness_api.h"

#include "http/http_exchange.h"
#include "metrics/exposition_writer.h"
#include "platform/job_codec.h"

#include <utility>

namespace teaselward
{

namespace
{

constexpr std::string_view Path = "/teaselward/ready";
constexpr std::string_view MetricsPath = "/metrics";
constexpr unsigned StatusOk = 200;
constexpr unsigned StatusNotFound = 404;
constexpr unsigned StatusTooLarge = 413;
constexpr unsigned StatusUnavailable = 503;

} // namespace

readiness_api::readiness_api(std::function<bool()> isReady, std::function<std::string()> metrics)
    : m_isReady(std::move(isReady))
    , m_metrics(std::move(metrics))
{
}

bool readiness_api::handle(http_exchange &exchange)
{
    http_response response;
    if (exchange.request.path == MetricsPath) {
        response.body = m_metrics();
        response.contentType = exposition_writer::ContentType;
    } else if (exchange.request.path != Path) {
        response = encodeClientError(StatusNotFound, reason::malformed, "unknown path");
    } else {
        response.status = m_isReady() ? StatusOk : StatusUnavailable;
    }
    exchange.response = std::move(response);
    return true;
}

http_response readiness_api::refuseBody(reason why)
{
    return encodeClientError(StatusTooLarge, why, "no body is expected");
}

void readiness_api::finished(const http_response & /*response*/, bool /*delivered*/, std::chrono::microseconds /*duration*/)
{
}

} // namespace teaselward
