#include "rpc/dialer.h"

#include "rpc/socket_address.h"

#include <utility>

namespace teaselward
{

dialer::dialer(
    kj::Network &network, kj::Timer &timer, entry_directory &directory, std::chrono::milliseconds timeout, connected_handler connected, failed_handler failed)
    : m_network(network)
    , m_timer(timer)
    , m_directory(directory)
    , m_timeout(timeout)
    , m_connected(std::move(connected))
    , m_failed(std::move(failed))
    , m_tasks(*this)
{
}

void dialer::dial(mono_time now)
{
    for (const std::string &address : m_directory.takeDue(now)) {
        start(address);
    }
}

void dialer::start(const std::string &address)
{
    auto attempt = kj::evalNow([this, &address]() -> kj::Promise<kj::Own<kj::AsyncIoStream>> {
        const socket_address target = socket_address::parse(address);
        auto resolved = m_network.getSockaddr(target.data(), target.size());
        auto connecting = resolved->connect();
        return connecting.attach(std::move(resolved));
    });
    auto bounded = m_timer.timeoutAfter(m_timeout.count() * kj::MILLISECONDS, std::move(attempt));
    m_tasks.add(bounded
                    .then([this, address](kj::Own<kj::AsyncIoStream> stream) {
                        m_connected(address, std::move(stream));
                    })
                    .catch_([this, address](kj::Exception && /*exception*/) {
                        m_directory.setLost(address, mono_clock::now());
                        m_failed(address);
                    }));
}

// Failed attempts are handled in start(); nothing else can fail.
void dialer::taskFailed(kj::Exception && /*exception*/)
{
}

} // namespace teaselward
