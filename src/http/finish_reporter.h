#pragma once

#include "base/bounded_ring.h"
#include "core/request_origin.h"
#include "http/http_reply.h"
#include "http/http_response.h"

#include <chrono>

namespace teaselward
{

/** Reports the completed requests of one listener to the reply thread, which owns the metrics. */
class finish_reporter
{
public:
    /**
     * Creates a reporter.
     * @param origin listener of the requests
     * @param replies ring of the reply thread; it must outlive the reporter
     */
    finish_reporter(request_origin origin, bounded_ring<http_reply> &replies)
        : m_origin(origin)
        , m_replies(replies)
    {
    }

    /**
     * Reports a request. While the ring is full the report is dropped, because the listener's thread must not block.
     * @param response response of the request
     * @param delivered whether the complete response was sent
     * @param duration time since the headers were complete
     */
    void report(const http_response &response, bool delivered, std::chrono::microseconds duration)
    {
        m_replies.tryPush(request_finished{m_origin, response.why, delivered, duration});
    }

private:
    request_origin m_origin;
    bounded_ring<http_reply> &m_replies;
};

} // namespace teaselward
