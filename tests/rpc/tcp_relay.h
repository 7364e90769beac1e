#pragma once

#include <cstdint>
#include <memory>
#include <string>

namespace teaselward
{

namespace detail
{
class tcp_relay_private;
}

/** Relay on a loopback port. It can stop relaying without closing its connections, which simulates a network cut or a paused peer. */
class tcp_relay
{
public:
    /** @param target IP:PORT that each connection is relayed to */
    explicit tcp_relay(const std::string &target);
    ~tcp_relay();

    tcp_relay(const tcp_relay &) = delete;
    tcp_relay &operator=(const tcp_relay &) = delete;

    /** @return IP:PORT of the relay */
    const std::string &address() const;

    /** Stops relaying on all current and later connections. */
    void freeze();

    /** Relays again, beginning with the bytes that arrived meanwhile. */
    void resume();

    /** Closes all current connections. */
    void cut();

    /** @return bytes relayed in both directions together */
    std::uint64_t bytes() const;

private:
    std::unique_ptr<detail::tcp_relay_private> d;
};

} // namespace teaselward
