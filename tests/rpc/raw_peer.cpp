#include "rpc/raw_peer.h"

#include "base/clock.h"
#include "rpc/socket_address.h"

#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <chrono>
#include <system_error>

namespace teaselward
{

namespace
{

constexpr std::chrono::seconds Timeout{20};

} // namespace

raw_peer::raw_peer(const std::string &address)
{
    const socket_address target = socket_address::parse(address);
    m_descriptor = ::socket(target.data()->sa_family, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (m_descriptor < 0 || ::connect(m_descriptor, target.data(), target.size()) != 0) {
        throw std::system_error(errno, std::generic_category(), "connect to " + address);
    }
}

raw_peer::~raw_peer()
{
    ::close(m_descriptor);
}

void raw_peer::send(const std::string &bytes)
{
    [[maybe_unused]] const ssize_t result = ::send(m_descriptor, bytes.data(), bytes.size(), MSG_NOSIGNAL);
}

bool raw_peer::isClosedByPeer()
{
    const mono_time until = mono_clock::now() + Timeout;
    std::array<char, 4096> buffer{};
    while (mono_clock::now() < until) {
        pollfd descriptor{m_descriptor, POLLIN, 0};
        if (::poll(&descriptor, 1, 100) > 0 && ::recv(m_descriptor, buffer.data(), buffer.size(), 0) <= 0) {
            return true;
        }
    }
    return false;
}

} // namespace teaselward
