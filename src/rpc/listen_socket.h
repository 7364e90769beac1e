#pragma once

#include <string>

namespace teaselward
{

/** Listening TCP socket. */
class listen_socket
{
public:
    /**
     * Opens the socket.
     * @param address IP:PORT; port 0 lets the system choose one
     * @throws std::system_error if the address is invalid or in use
     */
    explicit listen_socket(const std::string &address);
    ~listen_socket();

    listen_socket(const listen_socket &) = delete;
    listen_socket &operator=(const listen_socket &) = delete;

    /** @return the descriptor, which stays owned by this object */
    int descriptor() const;

    /** @return IP:PORT with the port that the system chose */
    const std::string &address() const;

private:
    int m_descriptor;
    std::string m_address;
};

} // namespace teaselward
