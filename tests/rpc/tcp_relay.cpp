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
    int near;
    int far;
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

    // Waits for any socket or a change of the flags; while frozen only the changes count.
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
                    descriptors.push_back({pair.near, POLLIN, 0});
                    descriptors.push_back({pair.far, POLLIN, 0});
                }
            }
            ::poll(descriptors.data(), descriptors.size(), -1);
            wake.clear();
            // The flags may have changed during the wait, after which the list of descriptors does not fit.
            if (descriptors.size() == 1 || isFrozen || isStopped || mustCut) {
                continue;
            }
            pass(descriptors);
            if ((descriptors[1].revents & POLLIN) != 0) {
                acceptOne();
            }
        }
        closeAll();
    }

    void pass(const std::vector<pollfd> &descriptors)
    {
        std::size_t index = 2;
        for (auto pair = pairs.begin(); pair != pairs.end(); index += 2) {
            const bool isOpen
                = (descriptors[index].revents == 0 || copy(pair->near, pair->far)) && (descriptors[index + 1].revents == 0 || copy(pair->far, pair->near));
            if (isOpen) {
                ++pair;
                continue;
            }
            ::close(pair->near);
            ::close(pair->far);
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
        const int near = ::accept(listener.descriptor(), nullptr, nullptr);
        const int far = ::socket(target.data()->sa_family, SOCK_STREAM | SOCK_CLOEXEC, 0);
        if (near < 0 || far < 0 || ::connect(far, target.data(), target.size()) != 0) {
            ::close(near);
            ::close(far);
            return;
        }
        pairs.push_back({near, far});
    }

    void closeAll()
    {
        for (const relay_pair &pair : pairs) {
            ::close(pair.near);
            ::close(pair.far);
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
