#include "platform/heartbeat_api.h"

#include "core/concat.h"
#include "http/http_exchange.h"
#include "metrics/exposition_writer.h"
#include "platform/heartbeat_codec.h"
#include "platform/job_codec.h"

#include <utility>

namespace teaselward
{

namespace
{

constexpr std::string_view MetricsPath = "/metrics";
constexpr std::string_view Prefix = "/teaselward/instances/";
constexpr unsigned StatusBadRequest = 400;
constexpr unsigned StatusNotFound = 404;
constexpr unsigned StatusTooLarge = 413;

} // namespace

heartbeat_api::heartbeat_api(announced_function announced, withdrawn_function withdrawn, metrics_function metrics, logger &log)
    : m_announced(std::move(announced))
    , m_withdrawn(std::move(withdrawn))
    , m_metrics(std::move(metrics))
    , m_log(log)
{
}

bool heartbeat_api::handle(http_exchange &exchange)
{
    const http_request &request = exchange.request;
    const bool isWorker = request.path.starts_with(Prefix) && request.path.size() > Prefix.size();
    const std::string id = isWorker ? request.path.substr(Prefix.size()) : std::string();
    http_response accepted;
    accepted.body = "{}";
    if (isWorker && request.method == "PUT") {
        std::string_view fault;
        if (auto announcement = decodeHeartbeat(id, request.body, &fault)) {
            m_announced(std::move(*announcement));
            exchange.response = std::move(accepted);
        } else {
            m_log.write(log_part::member, concat("Ignored a malformed heartbeat. worker=", id, " bytes=", request.body.size(), " wrong=", fault));
            exchange.response = encodeClientError(StatusBadRequest, reason::malformed, "the heartbeat is malformed");
        }
    } else if (isWorker && request.method == "DELETE") {
        m_withdrawn(id);
        exchange.response = std::move(accepted);
    } else if (request.path == MetricsPath) {
        http_response metrics;
        metrics.body = m_metrics();
        metrics.contentType = exposition_writer::ContentType;
        exchange.response = std::move(metrics);
    } else {
        exchange.response = encodeClientError(StatusNotFound, reason::malformed, "unknown path");
    }
    return true;
}

http_response heartbeat_api::refuseBody(reason why)
{
    return encodeClientError(StatusTooLarge, why, "the heartbeat is too large");
}

void heartbeat_api::finished(const http_response & /*response*/, bool /*delivered*/, std::chrono::microseconds /*duration*/)
{
}

} // namespace teaselward
