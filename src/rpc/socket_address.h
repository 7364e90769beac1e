#pragma once

#include <sys/socket.h>

#include <string>

namespace teaselward
{

/** Address of a TCP socket. Host names are not resolved, so that no name service can delay the event loop. */
class socket_address
{
public:
    /**
     * Reads an address.
     * @param text IP:PORT, with an IPv6 address in square brackets
     * @return the address
     * @throws std::system_error with std::errc::invalid_argument if the text is no address
     */
    static socket_address parse(const std::string &text);

    /**
     * Asks the system for the address that a socket is bound to.
     * @param descriptor the socket
     * @return the address
     * @throws std::system_error if the system refuses
     */
    static socket_address boundTo(int descriptor);

    /** @return address in the form of the system */
    const sockaddr *data() const;

    /** @return size of the form of the system */
    socklen_t size() const;

    /** @return IP:PORT */
    std::string text() const;

private:
    sockaddr_storage m_storage{};
    socklen_t m_size = 0;
};

} // namespace teaselward
