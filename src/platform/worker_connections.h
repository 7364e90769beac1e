#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>

namespace teaselward
{

namespace detail
{
class worker_connections_private;
}

/**
 * Connections of libcurl to one instance of a worker. libcurl names a connection by its local port, which another connection can have
 * later; an identifier is used once. A connection is confirmed once the instance has answered a list call through it.
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
     * Closes the socket of a connection.
     * @param socket the socket
     * @return zero; negative on an error, with errno set
     */
    int close(int socket);

    /**
     * Returns the identifier of an open connection.
     * @param localPort local port of the connection
     * @return the identifier; zero if there is no such connection
     */
    std::uint64_t find(int localPort);

    /**
     * Marks a connection as busy. Ignored if it was closed.
     * @param id identifier of the connection
     */
    void occupy(std::uint64_t id);

    /**
     * Marks a connection as idle. Ignored if it was closed.
     * @param id identifier of the connection
     */
    void release(std::uint64_t id);

    /**
     * Records that the instance has answered a list call through a connection. Ignored if the connection was closed.
     * @param id identifier of the connection
     */
    void confirm(std::uint64_t id);

    /**
     * Returns whether a connection is confirmed.
     * @param id identifier of the connection
     * @return whether it is open and confirmed
     */
    bool isConfirmed(std::uint64_t id) const;

    /** @return number of confirmed connections without a call */
    std::size_t idleConfirmed() const;

private:
    std::unique_ptr<detail::worker_connections_private> d;
};

} // namespace teaselward
