#include "platform/job_api.h"

#include "core/concat.h"
#include "core/reason_text.h"
#include "http/http_exchange.h"
#include "http/response_sender.h"
#include "platform/client_headers.h"
#include "platform/job_codec.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <optional>
#include <utility>

namespace teaselward
{

namespace
{

constexpr std::size_t IdLength = 16; // Hexadecimal digits.

constexpr unsigned StatusBadRequest = 400;
constexpr unsigned StatusNotFound = 404;
constexpr unsigned StatusMethodNotAllowed = 405;
constexpr unsigned StatusGone = 410;
constexpr unsigned StatusTooLarge = 413;
constexpr unsigned StatusUnavailable = 503;

// Maximum tasks of one job; the largest known jobs have 210.
constexpr std::uint32_t MaxTasks = 4096;

// A caller that would wait longer is treated as if it waited this long, so that times computed from it stay in range.
constexpr std::int64_t MaxTimeoutMs = std::int64_t{24} * 60 * 60 * 1000;

bool isId(std::string_view text)
{
    return text.size() == IdLength && std::ranges::all_of(text, [](char c) {
               return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f') || (c >= 'A' && c <= 'F');
           });
}

// Returns the client's timeout, or std::nullopt if the request has none.
std::optional<std::chrono::milliseconds> clientTimeout(const http_request &request)
{
    const auto found = request.headers.find(ClientTimeoutHeader);
    if (found == request.headers.end()) {
        return std::nullopt;
    }
    std::int64_t value = 0;
    const char *end = found->second.data() + found->second.size();
    const auto [parsed, error] = std::from_chars(found->second.data(), end, value);
    return error == std::errc() && parsed == end && value > 0 ? std::optional(std::chrono::milliseconds(std::min(value, MaxTimeoutMs))) : std::nullopt;
}

} // namespace

job_api::job_api(const shared_routes &routes, event_dispatcher &dispatcher, count_function count, logger &log)
    : m_routes(routes)
    , m_dispatcher(dispatcher)
    , m_count(std::move(count))
    , m_log(log)
{
}

bool job_api::handle(http_exchange &exchange)
{
    static constexpr std::array methods = {
        method_row{"POST", &job_api::submit},
        method_row{"GET", &job_api::query},
        method_row{"DELETE", &job_api::cancel},
    };
    const http_request &request = exchange.request;
    const auto routes = m_routes.get();
    if (!routes) {
        return refuse(exchange, StatusUnavailable, reason::draining, "no configuration yet", {});
    }
    const auto host = request.headers.find(HostHeader);
    const route *found = host != request.headers.end() ? routes->find(host->second, request.path) : nullptr;
    if (found == nullptr) {
        return refuse(exchange, StatusNotFound, reason::unknownKind, "no such route", {});
    }
    const std::string_view id = std::string_view(request.path).substr(found->pathPrefix.size());
    const auto row = std::ranges::find(methods, request.method, &method_row::method);
    if (row == methods.end()) {
        return refuse(exchange, StatusMethodNotAllowed, reason::malformed, "wrong method", id);
    }
    return (this->*row->handle)(exchange, *found, id);
}

// The tasks of a job share its specification.
bool job_api::submit(http_exchange &exchange, const route &found, std::string_view id)
{
    job_body body;
    const std::string error = decodeJob(exchange.request.body, body);
    if (!error.empty() || !isId(id)) {
        return refuse(exchange, StatusBadRequest, reason::malformed, error.empty() ? "the identifier is malformed" : error, id);
    }
    const job_step &step = body.steps.front();
    if (!body.bestEffort || body.isRecurring || body.steps.size() != 1 || !step.isSupported || step.tasks > MaxTasks) {
        return refuse(exchange, StatusUnavailable, reason::unknownKind, "this form of job is not supported", id);
    }
    // The request may have waited in the buffer of its socket while this process was paused, until the client gave up and submitted the
    // job elsewhere. The time is taken first, so that a pause during the check makes the evidence old.
    const mono_time seenAt = mono_clock::now();
    if (isClosedByPeer(exchange)) {
        return refuse(exchange, StatusUnavailable, reason::cancelled, "the client has closed its connection", id);
    }
    keyed_job_submitted event;
    event.callerSeenAt = seenAt;
    event.job.kind = found.kind;
    event.job.key = std::string(id);
    event.job.timeLimit = clientTimeout(exchange.request).value_or(found.timeLimit);
    event.job.payloads.assign(step.tasks, body.spec);
    event.job.needs = step.needs;
    event.job.estimate = step.estimate;
    job_answer unanswered;
    unanswered.state = job_state::failed;
    unanswered.why = reason::outcomeUnknown;
    return m_dispatcher.dispatch(exchange, std::move(event), unanswered, true);
}

// A best-effort job is answered only in the response to its submission, so a query never finds one.
bool job_api::query(http_exchange &exchange, const route & /*found*/, std::string_view id)
{
    if (id.empty()) {
        exchange.response = encodePendingCount(0);
        return true;
    }
    return refuse(exchange, StatusGone, reason::unknownJob, "no such job", id);
}

bool job_api::cancel(http_exchange &exchange, const route & /*found*/, std::string_view id)
{
    return refuse(exchange, StatusGone, reason::unknownJob, "no such job", id);
}

bool job_api::refuse(http_exchange &exchange, unsigned status, reason why, std::string_view text, std::string_view id) const
{
    if (m_log.isEnabled()) {
        const http_request &request = exchange.request;
        m_log.write(log_part::http,
                    concat("Refused a request. method=", request.method, " path=", request.path, " job=", id, " status=", status, " reason=", text));
    }
    exchange.response = encodeClientError(status, why, text);
    return true;
}

http_response job_api::refuseBody(reason why)
{
    return encodeClientError(why == reason::tooLarge ? StatusTooLarge : StatusUnavailable, why, reasonText(why));
}

void job_api::finished(const http_response &response, bool delivered, std::chrono::microseconds duration)
{
    m_count(response.why, delivered, duration);
}

} // namespace teaselward
