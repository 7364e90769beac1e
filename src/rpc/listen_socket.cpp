#include "rpc/listen_socket.h"

#include "rpc/socket_address.h"

#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>
#include <system_error>

namespace teaselward
{

namespace
{

// Connections that the system queues for accept(): many agents connect at once after an entry has restarted.
constexpr int Backlog = 1024;

} // namespace

listen_socket::listen_socket(const std::string &address)
{
    const socket_address target = socket_address::parse(address);
    m_descriptor = ::socket(target.data()->sa_family, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    const int on = 1;
    const bool isOpen = m_descriptor >= 0 && ::setsockopt(m_descriptor, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on) == 0
        && ::bind(m_descriptor, target.data(), target.size()) == 0 && ::listen(m_descriptor, Backlog) == 0;
    if (!isOpen) {
        const int error = errno;
        if (m_descriptor >= 0) {
            ::close(m_descriptor);
        }
        throw std::system_error(error, std::generic_category(), "cannot listen on " + address);
    }
    m_address = socket_address::boundTo(m_descriptor).text();
}

listen_socket::~listen_socket()
{
    ::close(m_descriptor);
}

int listen_socket::descriptor() const
{
    return m_descriptor;
}

const std::string &listen_socket::address() const
{
    return m_address;
}

} // namespace teaselward
