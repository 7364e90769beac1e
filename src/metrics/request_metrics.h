#pragma once

#include "core/reason.h"
#include "core/request_origin.h"
#include "metrics/exposition_writer.h"

#include <chrono>
#include <cstdint>
#include <memory>

namespace teaselward
{

namespace detail
{
class request_metrics_private;
}

/** Metrics of HTTP requests. Not thread-safe: only the owning thread may use them. */
class request_metrics
{
public:
    request_metrics();
    ~request_metrics();

    request_metrics(const request_metrics &) = delete;
    request_metrics &operator=(const request_metrics &) = delete;

    /**
     * Counts a request that has ended.
     * @param origin listener of the request
     * @param outcome reason of the refusal or failure, or none
     * @param delivered whether the whole response was sent
     * @param duration time from the end of the headers to the end of the response
     */
    void countRequest(request_origin origin, reason outcome, bool delivered, std::chrono::microseconds duration);

    /** Counts an answer from the decision thread for which no request is pending any more. */
    void countUnmatchedAnswer();

    /** @return number of answers that were not delivered because the connection was closed */
    std::uint64_t droppedAnswers() const;

    /**
     * Writes all metrics.
     * @param writer receives the samples
     */
    void write(exposition_writer &writer) const;

private:
    std::unique_ptr<detail::request_metrics_private> d;
};

} // namespace teaselward
