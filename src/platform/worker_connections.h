#pragma once

#include <cstddef>
#include <memory>

namespace teaselward
{

namespace detail
{
class worker_connections_private;
}

/**
 * Connections of libcurl to one instance of a worker, each known by its local port while it is open. A connection is confirmed once
 * the instance has answered a list call through it.
 */
class worker_connections
{
public:
    worker_connections();
    ~worker_connections();

    worker_connections(const worker_connections &) = delete;
    worker_connections &operator=(const worker_connections &) = delete;

    /**
     * Opens the socket of a connection.
     * @param family address family
     * @param type socket type
     * @param protocol protocol of the family
     * @return the socket; negative on an error, with errno set
     */
    int open(int family, int type, int protocol);

    /**
     * Closes a socket. Its local port may belong to another connection afterwards.
     * @param socket the socket
     * @return zero; negative on an error, with errno set
     */
    int close(int socket);

    /**
     * Marks a connection as busy.
     * @param localPort local port of the connection
     */
    void occupy(int localPort);

    /**
     * Marks a connection as idle. Ignored if it was closed.
     * @param localPort local port of the connection
     */
    void release(int localPort);

    /**
     * Records that the instance has answered a list call through a connection. Ignored if the connection was closed.
     * @param localPort local port of the connection
     */
    void confirm(int localPort);

    /**
     * Returns whether a connection is confirmed.
     * @param localPort local port of the connection
     * @return whether it is open and confirmed
     */
    bool isConfirmed(int localPort) const;

    /** @return number of confirmed connections without a call */
    std::size_t idleConfirmed() const;

private:
    std::unique_ptr<detail::worker_connections_private> d;
};

} // namespace teaselward
