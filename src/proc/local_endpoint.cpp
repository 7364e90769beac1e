#include "proc/local_endpoint.h"

#include <absl/strings/ascii.h>
#include <absl/strings/str_cat.h>
#include <arpa/inet.h>
#include <microhttpd.h>

#include <system_error>

namespace teaselward
{

namespace
{

// The library calls this several times for one request: first without a body, then once for each piece of the body, and finally
// with an empty piece, upon which the response is sent.
MHD_Result handleRequest(void * /*closure*/,
                         MHD_Connection *connection,
                         const char * /*url*/,
                         const char * /*method*/,
                         const char * /*version*/,
                         const char *data,
                         std::size_t *size,
                         void **state)
{
    if (*state == nullptr) {
        *state = new std::string;
        return MHD_YES;
    }
    auto *body = static_cast<std::string *>(*state);
    if (*size > 0) {
        body->append(data, *size);
        *size = 0;
        return MHD_YES;
    }
    absl::AsciiStrToUpper(body);
    MHD_Response *response = MHD_create_response_from_buffer(body->size(), body->data(), MHD_RESPMEM_MUST_COPY);
    const MHD_Result result = MHD_queue_response(connection, MHD_HTTP_OK, response);
    MHD_destroy_response(response);
    return result;
}

void freeBody(void * /*closure*/, MHD_Connection * /*connection*/, void **state, MHD_RequestTerminationCode /*code*/)
{
    delete static_cast<std::string *>(*state);
    *state = nullptr;
}

} // namespace

namespace detail
{

class local_endpoint_private
{
public:
    local_endpoint_private()
    {
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        daemon = MHD_start_daemon(MHD_USE_EPOLL_INTERNAL_THREAD,
                                  0,
                                  nullptr,
                                  nullptr,
                                  &handleRequest,
                                  nullptr,
                                  MHD_OPTION_SOCK_ADDR,
                                  &address,
                                  MHD_OPTION_NOTIFY_COMPLETED,
                                  &freeBody,
                                  nullptr,
                                  MHD_OPTION_END);
        if (daemon == nullptr) {
            throw std::system_error(std::make_error_code(std::errc::address_not_available), "local endpoint");
        }
    }

    ~local_endpoint_private()
    {
        MHD_stop_daemon(daemon);
    }

    MHD_Daemon *daemon = nullptr;
};

} // namespace detail

local_endpoint::local_endpoint()
    : d(std::make_unique<detail::local_endpoint_private>())
{
}

local_endpoint::~local_endpoint() = default;

std::string local_endpoint::address() const
{
    return absl::StrCat("127.0.0.1:", MHD_get_daemon_info(d->daemon, MHD_DAEMON_INFO_BIND_PORT)->port);
}

} // namespace teaselward
