#pragma once

#include <cstddef>
#include <string>

namespace teaselward
{

/** Plain TCP client that sends arbitrary bytes. */
class raw_peer
{
public:
    /** @param address IP:PORT that is connected to */
    explicit raw_peer(const std::string &address);
    ~raw_peer();

    raw_peer(const raw_peer &) = delete;
    raw_peer &operator=(const raw_peer &) = delete;

    /** @param bytes sent unchanged; errors are ignored, because the other side may have closed the connection */
    void send(const std::string &bytes);

    /** @return whether the other side closes the connection within 20 s */
    bool isClosedByPeer();

private:
    int m_descriptor;
};

} // namespace teaselward
