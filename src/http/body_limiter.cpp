#include "http/body_limiter.h"

#include <charconv>
#include <limits>
#include <string>

namespace teaselward
{

namespace
{

// An oversized body is read and discarded up to this multiple of the limit, because closing a connection with unread data
// resets it, so that the client would not receive the response.
constexpr std::size_t DiscardFactor = 4;

} // namespace

body_limiter::body_limiter(std::size_t bodyLimit, std::size_t totalLimit)
    : m_bodyLimit(bodyLimit)
    , m_totalLimit(totalLimit)
{
}

bool body_limiter::checkContentLength(http_request &request, std::string_view contentLength) const
{
    std::uint64_t size = 0;
    if (std::from_chars(contentLength.data(), contentLength.data() + contentLength.size(), size).ec == std::errc::result_out_of_range) {
        size = std::numeric_limits<std::uint64_t>::max();
    }
    if (size > m_bodyLimit) {
        request.bodyRefusal = reason::tooLarge;
    }
    return size <= m_bodyLimit * DiscardFactor;
}

bool body_limiter::receive(http_request &request, std::string_view part)
{
    if (request.bodyRefusal == reason::none && request.body.size() + part.size() > m_bodyLimit) {
        request.bodyRefusal = reason::tooLarge;
    } else if (request.bodyRefusal == reason::none && m_total + part.size() > m_totalLimit) {
        request.bodyRefusal = reason::overloaded;
    }
    if (request.bodyRefusal == reason::none) {
        request.body += part;
        m_total += part.size();
        return true;
    }
    release(request);
    std::string().swap(request.body);
    request.discarded += part.size();
    return request.discarded <= m_bodyLimit * DiscardFactor;
}

void body_limiter::release(const http_request &request)
{
    m_total -= request.body.size();
}

} // namespace teaselward
