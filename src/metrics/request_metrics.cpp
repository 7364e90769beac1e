#include "metrics/request_metrics.h"

#include "core/reason_text.h"
#include "metrics/duration_distribution.h"
#include "metrics/write_durations.h"

#include <array>
#include <map>
#include <string>
#include <string_view>
#include <utility>

namespace teaselward
{

namespace
{

// Indexed by the value of the enumerator.
constexpr std::array<std::string_view, 4> Listeners = {"caller", "peer", "operator", "client"};

std::string_view outcomeText(reason outcome)
{
    return outcome == reason::none ? "ok" : reasonText(outcome);
}

} // namespace

namespace detail
{

class request_metrics_private
{
public:
    std::map<std::pair<request_origin, reason>, duration_distribution> requests;
    std::uint64_t dropped = 0;
    std::uint64_t unmatched = 0;
};

} // namespace detail

request_metrics::request_metrics()
    : d(std::make_unique<detail::request_metrics_private>())
{
}

request_metrics::~request_metrics() = default;

void request_metrics::countRequest(request_origin origin, reason outcome, bool delivered, std::chrono::microseconds duration)
{
    d->requests[{origin, outcome}].add(duration);
    d->dropped += delivered ? 0 : 1;
}

void request_metrics::countUnmatchedAnswer()
{
    ++d->unmatched;
}

std::uint64_t request_metrics::droppedAnswers() const
{
    return d->dropped;
}

void request_metrics::write(exposition_writer &writer) const
{
    writer.family("teaselward_request_seconds", "summary", "Time from the end of the headers to the end of the response, by outcome.");
    for (const auto &[key, times] : d->requests) {
        const std::string_view listener = Listeners.at(static_cast<std::size_t>(key.first));
        const std::string_view outcome = outcomeText(key.second);
        writeDurations(writer, "teaselward_request_seconds", {"listener", listener}, {"outcome", outcome}, times);
    }
    writer.family("teaselward_answers_dropped_total", "counter", "Answers whose connection was closed before they were sent.");
    writer.sample("teaselward_answers_dropped_total", {}, static_cast<double>(d->dropped));
    writer.family("teaselward_answers_unmatched_total", "counter", "Answers of the decisions that no request waited for.");
    writer.sample("teaselward_answers_unmatched_total", {}, static_cast<double>(d->unmatched));
}

} // namespace teaselward
