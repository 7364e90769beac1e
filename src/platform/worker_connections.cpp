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
    worker_connection *find(std::uint64_t id)
    {
        const auto found = std::ranges::find(connections, id, &worker_connection::id);
        return found != connections.end() ? &*found : nullptr;
    }

    std::uint64_t lastId = 0;
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
        d->connections.push_back({.id = ++d->lastId, .socket = socket});
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

// The local port of a socket is read once, when the first call through it is about to be sent.
std::uint64_t worker_connections::find(int localPort)
{
    auto found = std::ranges::find(d->connections, localPort, &worker_connection::localPort);
    if (found == d->connections.end()) {
        found = std::ranges::find_if(d->connections, [localPort](const worker_connection &one) {
            return one.localPort == 0 && localPortOf(one.socket) == localPort;
        });
    }
    if (found == d->connections.end()) {
        return 0;
    }
    found->localPort = localPort;
    return found->id;
}

void worker_connections::occupy(std::uint64_t id)
{
    if (worker_connection *connection = d->find(id)) {
        connection->isBusy = true;
    }
}

void worker_connections::release(std::uint64_t id)
{
    if (worker_connection *connection = d->find(id)) {
        connection->isBusy = false;
    }
}

void worker_connections::confirm(std::uint64_t id)
{
    if (worker_connection *connection = d->find(id)) {
        connection->isConfirmed = true;
    }
}

bool worker_connections::isConfirmed(std::uint64_t id) const
{
    const worker_connection *connection = d->find(id);
    return connection != nullptr && connection->isConfirmed;
}

std::size_t worker_connections::idleConfirmed() const
{
    return static_cast<std::size_t>(std::ranges::count_if(d->connections, [](const worker_connection &one) {
        return one.isConfirmed && !one.isBusy;
    }));
}

} // namespace teaselward
