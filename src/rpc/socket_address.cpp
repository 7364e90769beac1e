#include "rpc/socket_address.h"

#include <netdb.h>

#include <array>
#include <cerrno>
#include <cstring>
#include <system_error>

namespace teaselward
{

namespace
{

[[noreturn]] void throwInvalidAddress(const std::string &text)
{
    throw std::system_error(std::make_error_code(std::errc::invalid_argument), "address '" + text + "' is not IP:PORT");
}

} // namespace

socket_address socket_address::parse(const std::string &text)
{
    const std::size_t colon = text.rfind(':');
    if (colon == std::string::npos) {
        throwInvalidAddress(text);
    }
    std::string host = text.substr(0, colon);
    if (host.size() > 2 && host.front() == '[' && host.back() == ']') {
        host = host.substr(1, host.size() - 2);
    }
    addrinfo hints{};
    hints.ai_family = AF_UNSPEC;
    hints.ai_socktype = SOCK_STREAM;
    hints.ai_flags = AI_NUMERICHOST | AI_NUMERICSERV;
    addrinfo *found = nullptr;
    if (::getaddrinfo(host.c_str(), text.c_str() + colon + 1, &hints, &found) != 0) {
        throwInvalidAddress(text);
    }
    socket_address address;
    std::memcpy(&address.m_storage, found->ai_addr, found->ai_addrlen);
    address.m_size = found->ai_addrlen;
    ::freeaddrinfo(found);
    return address;
}

socket_address socket_address::boundTo(int descriptor)
{
    socket_address address;
    address.m_size = sizeof address.m_storage;
    if (::getsockname(descriptor, reinterpret_cast<sockaddr *>(&address.m_storage), &address.m_size) != 0) {
        throw std::system_error(errno, std::generic_category(), "getsockname");
    }
    return address;
}

const sockaddr *socket_address::data() const
{
    return reinterpret_cast<const sockaddr *>(&m_storage);
}

socklen_t socket_address::size() const
{
    return m_size;
}

std::string socket_address::text() const
{
    std::array<char, NI_MAXHOST> host{};
    std::array<char, NI_MAXSERV> port{};
    const int flags = NI_NUMERICHOST | NI_NUMERICSERV;
    if (::getnameinfo(data(), m_size, host.data(), host.size(), port.data(), port.size(), flags) != 0) {
        return {};
    }
    const std::string ip(host.data());
    return (ip.find(':') != std::string::npos ? "[" + ip + "]" : ip) + ":" + port.data();
}

} // namespace teaselward
