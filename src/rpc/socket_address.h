#pragma once

#include <sys/socket.h>

#include <string>

namespace teaselward
{

/** Numeric address of a TCP socket. Host names are not resolved, because a name service could block the event loop. */
class socket_address
{
public:
    /**
     * Parses an address.
     * @param text IP:PORT, with an IPv6 address in square brackets
     * @return the address
     * @throws std::system_error with std::errc::invalid_argument if the text is not an address
     */
    static socket_address parse(const std::string &text);

    /**
     * Asks the system for the address that a socket is bound to.
     * @param descriptor the socket
     * @return the address
     * @throws std::system_error if the system refuses
     */
    static socket_address boundTo(int descriptor);

    /** @return address for system calls */
    const sockaddr *data() const;

    /** @return size of data() in bytes */
    socklen_t size() const;

    /** @return IP:PORT */
    std::string text() const;

private:
    sockaddr_storage m_storage{};
    socklen_t m_size = 0;
};

} // namespace teaselward
