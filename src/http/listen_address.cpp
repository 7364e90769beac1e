#include "http/listen_address.h"

#include "http/http_error.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <charconv>
#include <cstdint>
#include <system_error>

namespace teaselward
{

namespace
{

// Connections that may wait for the listener's thread; the operating system does not drop a burst of up to this size.
constexpr int Backlog = 1024;

constexpr std::uint32_t LoopbackNetwork = 127;
constexpr unsigned NetworkShift = 24;

std::uint16_t parsePort(std::string_view text)
{
    std::uint16_t port = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), port);
    if (error != std::errc{} || end != text.data() + text.size()) {
        throw std::system_error(http_error::badAddress, std::string(text));
    }
    return port;
}

} // namespace

// Accepts no host names, because a process takes its addresses from its settings and not from a name service.
listen_address::listen_address(std::string_view text)
{
    const auto colon = text.rfind(':');
    if (colon == std::string_view::npos) {
        throw std::system_error(http_error::badAddress, std::string(text));
    }
    const std::uint16_t port = parsePort(text.substr(colon + 1));
    const std::string_view host = text.substr(0, colon);
    auto *v4 = reinterpret_cast<sockaddr_in *>(&m_address);
    auto *v6 = reinterpret_cast<sockaddr_in6 *>(&m_address);
    if (host.size() > 2 && host.front() == '[' && host.back() == ']'
        && inet_pton(AF_INET6, std::string(host.substr(1, host.size() - 2)).c_str(), &v6->sin6_addr) == 1) {
        v6->sin6_family = AF_INET6;
        v6->sin6_port = htons(port);
        m_length = sizeof(sockaddr_in6);
    } else if (inet_pton(AF_INET, std::string(host).c_str(), &v4->sin_addr) == 1) {
        v4->sin_family = AF_INET;
        v4->sin_port = htons(port);
        m_length = sizeof(sockaddr_in);
    } else {
        throw std::system_error(http_error::badAddress, std::string(text));
    }
}

std::uint16_t listen_address::port() const
{
    if (m_address.ss_family == AF_INET6) {
        return ntohs(reinterpret_cast<const sockaddr_in6 *>(&m_address)->sin6_port);
    }
    return ntohs(reinterpret_cast<const sockaddr_in *>(&m_address)->sin_port);
}

bool listen_address::isLoopback() const
{
    if (m_address.ss_family == AF_INET6) {
        return IN6_IS_ADDR_LOOPBACK(&reinterpret_cast<const sockaddr_in6 *>(&m_address)->sin6_addr);
    }
    return ntohl(reinterpret_cast<const sockaddr_in *>(&m_address)->sin_addr.s_addr) >> NetworkShift == LoopbackNetwork;
}

int listen_address::openSocket() const
{
    const int descriptor = ::socket(m_address.ss_family, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    if (descriptor < 0) {
        throw std::system_error(errno, std::generic_category(), "socket");
    }
    const int enabled = 1;
    ::setsockopt(descriptor, SOL_SOCKET, SO_REUSEADDR, &enabled, sizeof(enabled));
    if (::bind(descriptor, reinterpret_cast<const sockaddr *>(&m_address), m_length) != 0 || ::listen(descriptor, Backlog) != 0) {
        const int error = errno;
        ::close(descriptor);
        throw std::system_error(error, std::generic_category(), "bind or listen");
    }
    return descriptor;
}

std::string listen_address::boundAddress(int descriptor)
{
    sockaddr_storage address{};
    socklen_t length = sizeof(address);
    if (::getsockname(descriptor, reinterpret_cast<sockaddr *>(&address), &length) != 0) {
        throw std::system_error(errno, std::generic_category(), "getsockname");
    }
    std::array<char, INET6_ADDRSTRLEN> text{};
    if (address.ss_family == AF_INET6) {
        const auto *v6 = reinterpret_cast<const sockaddr_in6 *>(&address);
        inet_ntop(AF_INET6, &v6->sin6_addr, text.data(), text.size());
        return "[" + std::string(text.data()) + "]:" + std::to_string(ntohs(v6->sin6_port));
    }
    const auto *v4 = reinterpret_cast<const sockaddr_in *>(&address);
    inet_ntop(AF_INET, &v4->sin_addr, text.data(), text.size());
    return std::string(text.data()) + ":" + std::to_string(ntohs(v4->sin_port));
}

} // namespace teaselward
