#include "log/fd_stream_buffer.h"

#include <boost/test/unit_test.hpp>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <ostream>
#include <string>

using namespace teaselward;

namespace
{

/** Pair of connected sockets that keep the boundaries of writes. */
struct packet_pair {
    packet_pair()
    {
        BOOST_REQUIRE(::socketpair(AF_UNIX, SOCK_SEQPACKET | SOCK_NONBLOCK, 0, descriptors.data()) == 0);
    }

    ~packet_pair()
    {
        ::close(descriptors[0]);
        ::close(descriptors[1]);
    }

    std::string receive() const
    {
        std::array<char, 8192> data{};
        const ssize_t size = ::recv(descriptors[1], data.data(), data.size(), 0);
        return size < 0 ? std::string() : std::string(data.data(), static_cast<std::size_t>(size));
    }

    std::array<int, 2> descriptors{};
};

} // namespace

BOOST_AUTO_TEST_SUITE(fd_stream_buffer_test)

// Guards against a system call for each part of a line, and against a line that is held back.
BOOST_AUTO_TEST_CASE(writesAFlushedLineAtOnce)
{
    const packet_pair pair;
    fd_stream_buffer buffer(pair.descriptors[0]);
    std::ostream stream(&buffer);
    stream << "place: "
           << "Placed a task." << '\n';
    BOOST_TEST(pair.receive().empty());
    stream.flush();
    BOOST_TEST(pair.receive() == "place: Placed a task.\n");
}

// Guards against lost bytes of a line that is longer than the buffer.
BOOST_AUTO_TEST_CASE(passesLongLinesOn)
{
    const packet_pair pair;
    fd_stream_buffer buffer(pair.descriptors[0]);
    std::ostream stream(&buffer);
    const std::string line(10000, 'x');
    stream << line << std::flush;
    std::string received;
    for (std::string part = pair.receive(); !part.empty(); part = pair.receive()) {
        received += part;
    }
    BOOST_TEST(received == line);
}

BOOST_AUTO_TEST_SUITE_END()
