#include "http/raw_endpoint.h"

#include "http/listen_address.h"

#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <utility>

namespace teaselward
{

raw_endpoint::raw_endpoint(std::function<void(int)> serve)
    : m_descriptor(listen_address("127.0.0.1:0").openSocket())
    , m_address(listen_address::boundAddress(m_descriptor))
    , m_serve(std::move(serve))
    , m_thread([this] {
        pollfd entry{m_descriptor, POLLIN, 0};
        while (::poll(&entry, 1, -1) > 0 && (entry.revents & POLLHUP) == 0) {
            const int connection = ::accept(m_descriptor, nullptr, nullptr);
            if (connection >= 0) {
                ++m_accepted;
                m_serve(connection);
                ::close(connection);
            }
        }
    })
{
}

raw_endpoint::~raw_endpoint()
{
    ::shutdown(m_descriptor, SHUT_RDWR);
    m_thread.join();
    ::close(m_descriptor);
}

const std::string &raw_endpoint::address() const
{
    return m_address;
}

int raw_endpoint::accepted() const
{
    return m_accepted;
}

std::string raw_endpoint::readRequest(int descriptor, std::size_t bodySize)
{
    std::string text;
    std::array<char, 4096> bytes{};
    while (text.find("\r\n\r\n") == std::string::npos || text.size() < text.find("\r\n\r\n") + 4 + bodySize) {
        const ssize_t size = ::recv(descriptor, bytes.data(), bytes.size(), 0);
        if (size <= 0) {
            break;
        }
        text.append(bytes.data(), static_cast<std::size_t>(size));
    }
    return text;
}

void raw_endpoint::write(int descriptor, const std::string &bytes)
{
    for (std::size_t sent = 0; sent < bytes.size();) {
        const ssize_t size = ::send(descriptor, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
        if (size <= 0) {
            return;
        }
        sent += static_cast<std::size_t>(size);
    }
}

} // namespace teaselward
