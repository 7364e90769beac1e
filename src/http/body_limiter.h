#pragma once

#include "http/http_request.h"

#include <cstddef>
#include <cstdint>
#include <string_view>

namespace teaselward
{

/** Bounds the bodies that a listener receives. Only the listener's thread uses it. */
class body_limiter
{
public:
    /**
     * Creates a buffer.
     * @param bodyLimit bytes of one body
     * @param totalLimit bytes of the bodies of all requests that are not complete
     */
    body_limiter(std::size_t bodyLimit, std::size_t totalLimit);

    /**
     * Checks the size that a request states, and marks the request if it is above the limit.
     * @param request the request
     * @param contentLength value of the header Content-Length; may be empty
     * @return false if the body would be so large that it is not worth discarding
     */
    bool checkContentLength(http_request &request, std::string_view contentLength) const;

    /**
     * Keeps a part of a body. A body above a limit is discarded, and the request is marked.
     * @param request the request
     * @param part the bytes
     * @return false if so much was discarded that the connection has to be closed
     */
    bool receive(http_request &request, std::string_view part);

    /**
     * Releases the bytes of a request that is complete or lost. Its body stays as it is.
     * @param request the request
     */
    void release(const http_request &request);

private:
    std::size_t m_bodyLimit;
    std::size_t m_totalLimit;
    std::size_t m_total = 0;
};

} // namespace teaselward
