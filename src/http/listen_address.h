#pragma once

#include <sys/socket.h>

#include <cstdint>
#include <string>
#include <string_view>

namespace teaselward
{

/** IP address and port of a listener. */
class listen_address
{
public:
    /**
     * Parses an address.
     * @param text IP:PORT; an IPv6 address stands in brackets
     * @throws std::system_error with http_error::badAddress if the text is not an address
     */
    explicit listen_address(std::string_view text);

    /** @return port number; zero if the system chooses it */
    std::uint16_t port() const;

    /** @return whether the address can be reached only from the same machine */
    bool isLoopback() const;

    /**
     * Opens a listening socket.
     * @return its descriptor; the caller closes it
     * @throws std::system_error with the error of the system
     */
    int openSocket() const;

    /**
     * Returns the address to which a socket is bound.
     * @param descriptor descriptor of the socket
     * @return IP:PORT with the port that the system chose
     */
    static std::string boundAddress(int descriptor);

private:
    sockaddr_storage m_address{};
    socklen_t m_length = 0;
};

} // namespace teaselward
