#pragma once

#include "http/http_request.h"

#include <cstddef>
#include <cstdint>
#include <string_view>

namespace teaselward
{

/** Limits the size of each request body and of all bodies that a listener receives at once. Only the listener's thread uses it. */
class body_limiter
{
public:
    /**
     * Creates a limiter.
     * @param bodyLimit maximum bytes of one body
     * @param totalLimit maximum bytes of the bodies of all incomplete requests
     */
    body_limiter(std::size_t bodyLimit, std::size_t totalLimit);

    /**
     * Checks the Content-Length of a request, and marks the request if it exceeds the limit.
     * @param request the request
     * @param contentLength value of the Content-Length header; may be empty
     * @return false if the body is too large to be read and discarded
     */
    bool checkContentLength(http_request &request, std::string_view contentLength) const;

    /**
     * Appends received bytes to the body of a request. A body above a limit is discarded, and the request is marked.
     * @param request the request
     * @param part the bytes
     * @return false if so many bytes were discarded that the connection has to be closed
     */
    bool receive(http_request &request, std::string_view part);

    /**
     * Stops counting the body of a request that is complete or lost. The body itself is not changed.
     * @param request the request
     */
    void release(const http_request &request);

private:
    std::size_t m_bodyLimit;
    std::size_t m_totalLimit;
    std::size_t m_total = 0;
};

} // namespace teaselward
