#include "platform/worker_connections.h"

#include <boost/test/unit_test.hpp>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>

#include <cstdint>

using namespace teaselward;

namespace
{

// Binds a socket to a loopback port, or to a free one if the port is zero. Returns the port.
int bindTo(int socket, int port)
{
    const int on = 1;
    ::setsockopt(socket, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    BOOST_TEST_REQUIRE(::bind(socket, reinterpret_cast<const sockaddr *>(&address), sizeof address) == 0);
    socklen_t size = sizeof address;
    ::getsockname(socket, reinterpret_cast<sockaddr *>(&address), &size);
    return ntohs(address.sin_port);
}

} // namespace

BOOST_AUTO_TEST_SUITE(worker_connections_test)

// Guards against a connection to the next life of a worker that counts as confirmed because it has the local port of a former one.
BOOST_AUTO_TEST_CASE(aReusedPortIsNotConfirmed)
{
    worker_connections connections;
    const int first = connections.open(AF_INET, SOCK_STREAM, 0);
    const int port = bindTo(first, 0);
    const std::uint64_t former = connections.find(port);
    connections.confirm(former);
    BOOST_TEST(connections.isConfirmed(former));
    BOOST_TEST(connections.idleConfirmed() == 1U);
    connections.close(first);
    BOOST_TEST(connections.find(port) == 0U);
    const int second = connections.open(AF_INET, SOCK_STREAM, 0);
    bindTo(second, port);
    BOOST_TEST(connections.find(port) != 0U);
    BOOST_TEST(connections.find(port) != former);
    connections.confirm(former); // An answer that is evaluated after the connection was closed.
    BOOST_TEST(!connections.isConfirmed(connections.find(port)));
    BOOST_TEST(connections.idleConfirmed() == 0U);
    connections.close(second);
}

// Guards against two calls that are given the same idle connection.
BOOST_AUTO_TEST_CASE(aBusyConnectionIsNotIdle)
{
    worker_connections connections;
    const int socket = connections.open(AF_INET, SOCK_STREAM, 0);
    const std::uint64_t id = connections.find(bindTo(socket, 0));
    connections.occupy(id);
    connections.confirm(id);
    BOOST_TEST(connections.idleConfirmed() == 0U);
    connections.release(id);
    BOOST_TEST(connections.idleConfirmed() == 1U);
    connections.close(socket);
}

BOOST_AUTO_TEST_SUITE_END()
