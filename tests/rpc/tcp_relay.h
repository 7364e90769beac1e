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

/** Relay on a loopback port that can stop to pass bytes without closing its connections, as a cut network or a paused peer. */
class tcp_relay
{
public:
    /** @param target IP:PORT that each connection is passed on to */
    explicit tcp_relay(const std::string &target);
    ~tcp_relay();

    tcp_relay(const tcp_relay &) = delete;
    tcp_relay &operator=(const tcp_relay &) = delete;

    /** @return IP:PORT of the relay */
    const std::string &address() const;

    /** Stops passing bytes on all present and later connections. */
    void freeze();

    /** Passes bytes again, first those that waited. */
    void resume();

    /** Closes all present connections. */
    void cut();

    /** @return bytes that were passed on in both directions together */
    std::uint64_t bytes() const;

private:
    std::unique_ptr<detail::tcp_relay_private> d;
};

} // namespace teaselward
