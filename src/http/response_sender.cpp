#include "http/response_sender.h"

#include <microhttpd.h>
#include <sys/socket.h>

#include <algorithm>
#include <cerrno>
#include <chrono>
#include <string>

namespace teaselward
{

namespace
{

// Returns the value of Retry-After, which is in whole seconds.
std::string retryText(std::chrono::milliseconds time)
{
    return std::to_string(std::max<std::chrono::seconds::rep>(1, std::chrono::ceil<std::chrono::seconds>(time).count()));
}

} // namespace

bool sendResponse(http_exchange &exchange)
{
    http_response &response = *exchange.response;
    MHD_Response *message = MHD_create_response_from_buffer(response.body.size(), response.body.data(), MHD_RESPMEM_PERSISTENT);
    if (message == nullptr) {
        return false;
    }
    MHD_add_response_header(message, MHD_HTTP_HEADER_CONTENT_TYPE, response.contentType.c_str());
    if (response.retryAfter.count() > 0) {
        MHD_add_response_header(message, MHD_HTTP_HEADER_RETRY_AFTER, retryText(response.retryAfter).c_str());
    }
    if (!response.allow.empty()) {
        MHD_add_response_header(message, MHD_HTTP_HEADER_ALLOW, response.allow.c_str());
    }
    if (response.closesConnection) {
        MHD_add_response_header(message, MHD_HTTP_HEADER_CONNECTION, "close");
    }
    if (response.status == MHD_HTTP_UNAUTHORIZED) {
        MHD_add_response_header(message, MHD_HTTP_HEADER_WWW_AUTHENTICATE, "Bearer");
    }
    const MHD_Result result = MHD_queue_response(exchange.connection, response.status, message);
    MHD_destroy_response(message);
    return result == MHD_YES;
}

bool isClosedByPeer(const http_exchange &exchange)
{
    const int descriptor = MHD_get_connection_info(exchange.connection, MHD_CONNECTION_INFO_CONNECTION_FD)->connect_fd;
    char byte = 0;
    const ssize_t size = ::recv(descriptor, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return size == 0 || (size < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
}

} // namespace teaselward
