#include "platform/worker_connections.h"

#include "platform/worker_connection.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <vector>

namespace teaselward
{

namespace
{

// Returns the local port of a connected socket, or zero if it has none.
int localPortOf(int socket)
{
    sockaddr_storage address{};
    socklen_t size = sizeof address;
    if (::getsockname(socket, reinterpret_cast<sockaddr *>(&address), &size) != 0) {
        return 0;
    }
    if (address.ss_family == AF_INET6) {
        return ntohs(reinterpret_cast<const sockaddr_in6 *>(&address)->sin6_port);
    }
    return ntohs(reinterpret_cast<const sockaddr_in *>(&address)->sin_port);
}

} // namespace

namespace detail
{

class worker_connections_private
{
public:
    worker_connection *find(int localPort)
    {
        const auto found = std::ranges::find(connections, localPort, &worker_connection::localPort);
        return found != connections.end() ? &*found : nullptr;
    }

    std::vector<worker_connection> connections; ///< At most a few more than the calls that are sent at the same time.
};

} // namespace detail

worker_connections::worker_connections()
    : d(std::make_unique<detail::worker_connections_private>())
{
}

worker_connections::~worker_connections() = default;

int worker_connections::open(int family, int type, int protocol)
{
    const int socket = ::socket(family, type | SOCK_CLOEXEC, protocol);
    if (socket >= 0) {
        d->connections.push_back({.socket = socket});
    }
    return socket;
}

int worker_connections::close(int socket)
{
    std::erase_if(d->connections, [socket](const worker_connection &one) {
        return one.socket == socket;
    });
    return ::close(socket);
}

// libcurl names only the port of a connection, so the socket is looked up at the first call.
void worker_connections::occupy(int localPort)
{
    worker_connection *connection = d->find(localPort);
    if (connection == nullptr) {
        const auto opened = std::ranges::find_if(d->connections, [localPort](const worker_connection &one) {
            return one.localPort == 0 && localPortOf(one.socket) == localPort;
        });
        if (opened == d->connections.end()) {
            return;
        }
        opened->localPort = localPort;
        connection = &*opened;
    }
    connection->isBusy = true;
}

void worker_connections::release(int localPort)
{
    if (worker_connection *connection = d->find(localPort)) {
        connection->isBusy = false;
    }
}

void worker_connections::confirm(int localPort)
{
    if (worker_connection *connection = d->find(localPort)) {
        connection->isConfirmed = true;
    }
}

bool worker_connections::isConfirmed(int localPort) const
{
    const worker_connection *connection = d->find(localPort);
    return connection != nullptr && connection->isConfirmed;
}

std::size_t worker_connections::idleConfirmed() const
{
    return static_cast<std::size_t>(std::ranges::count_if(d->connections, [](const worker_connection &one) {
        return one.isConfirmed && !one.isBusy;
    }));
}

} // namespace teaselward
