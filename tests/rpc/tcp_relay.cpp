#include "rpc/tcp_relay.h"

#include "base/duty_thread.h"
#include "base/wake_fd.h"
#include "rpc/listen_socket.h"
#include "rpc/socket_address.h"

#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <atomic>
#include <list>
#include <optional>
#include <vector>

namespace teaselward
{

namespace detail
{

// The two sockets of one relayed connection.
struct relay_pair {
    int client;
    int server;
};

class tcp_relay_private
{
public:
    explicit tcp_relay_private(const std::string &targetAddress)
        : target(socket_address::parse(targetAddress))
        , listener("127.0.0.1:0")
    {
        thread.emplace("relay", [this] {
            run();
        });
    }

    // Polls all sockets and the wake descriptor, which signals a change of the flags; while frozen, only the wake descriptor.
    void run()
    {
        while (!isStopped) {
            if (mustCut.exchange(false)) {
                closeAll();
            }
            std::vector<pollfd> descriptors{{wake.descriptor(), POLLIN, 0}};
            if (!isFrozen) {
                descriptors.push_back({listener.descriptor(), POLLIN, 0});
                for (const relay_pair &pair : pairs) {
                    descriptors.push_back({pair.client, POLLIN, 0});
                    descriptors.push_back({pair.server, POLLIN, 0});
                }
            }
            ::poll(descriptors.data(), descriptors.size(), -1);
            wake.clear();
            // If the flags have changed during the wait, the list of descriptors is outdated.
            if (descriptors.size() == 1 || isFrozen || isStopped || mustCut) {
                continue;
            }
            relayReady(descriptors);
            if ((descriptors[1].revents & POLLIN) != 0) {
                acceptOne();
            }
        }
        closeAll();
    }

    void relayReady(const std::vector<pollfd> &descriptors)
    {
        std::size_t index = 2;
        for (auto pair = pairs.begin(); pair != pairs.end(); index += 2) {
            const bool isOpen = (descriptors[index].revents == 0 || copy(pair->client, pair->server))
                && (descriptors[index + 1].revents == 0 || copy(pair->server, pair->client));
            if (isOpen) {
                ++pair;
                continue;
            }
            ::close(pair->client);
            ::close(pair->server);
            pair = pairs.erase(pair);
        }
    }

    bool copy(int from, int to)
    {
        std::array<char, 65536> buffer{};
        const ssize_t size = ::recv(from, buffer.data(), buffer.size(), 0);
        if (size <= 0) {
            return false;
        }
        bytes += static_cast<std::uint64_t>(size);
        return ::send(to, buffer.data(), static_cast<std::size_t>(size), MSG_NOSIGNAL) == size;
    }

    void acceptOne()
    {
        const int client = ::accept(listener.descriptor(), nullptr, nullptr);
        const int server = ::socket(target.data()->sa_family, SOCK_STREAM | SOCK_CLOEXEC, 0);
        if (client < 0 || server < 0 || ::connect(server, target.data(), target.size()) != 0) {
            ::close(client);
            ::close(server);
            return;
        }
        pairs.push_back({client, server});
    }

    void closeAll()
    {
        for (const relay_pair &pair : pairs) {
            ::close(pair.client);
            ::close(pair.server);
        }
        pairs.clear();
    }

    socket_address target;
    listen_socket listener;
    wake_fd wake;
    std::atomic<bool> isFrozen{false};
    std::atomic<bool> isStopped{false};
    std::atomic<bool> mustCut{false};
    std::atomic<std::uint64_t> bytes{0};
    std::list<relay_pair> pairs;
    std::optional<duty_thread> thread;
};

} // namespace detail

tcp_relay::tcp_relay(const std::string &target)
    : d(std::make_unique<detail::tcp_relay_private>(target))
{
}

tcp_relay::~tcp_relay()
{
    d->isStopped = true;
    d->wake.signal();
    d->thread.reset();
}

const std::string &tcp_relay::address() const
{
    return d->listener.address();
}

void tcp_relay::freeze()
{
    d->isFrozen = true;
    d->wake.signal();
}

void tcp_relay::resume()
{
    d->isFrozen = false;
    d->wake.signal();
}

void tcp_relay::cut()
{
    d->mustCut = true;
    d->wake.signal();
}

std::uint64_t tcp_relay::bytes() const
{
    return d->bytes;
}

} // namespace teaselward
