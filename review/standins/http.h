#pragma once

#include <arpa/inet.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <cstring>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <random>
#include <set>
#include <stdexcept>
#include <string>
#include <thread>

/** Minimal blocking HTTP/1.1 over loopback for the stand-ins of a review case. */
namespace standin
{

using clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

struct request {
    std::string method, path, body;
    std::map<std::string, std::string> headers; ///< Names in lower case.
};

struct response {
    int status = 200;
    std::string body;
    std::string type = "application/json";
};

inline sockaddr_in loopback(int port)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    return address;
}

/** @return a port that was free when asked for, below those that the kernel gives to outgoing connections */
inline int freePort()
{
    static std::mt19937 random{std::random_device{}()};
    for (int i = 0; i < 1000; ++i) {
        const int port = 12000 + static_cast<int>(random() % 20000);
        const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const sockaddr_in address = loopback(port);
        const bool isFree = fd >= 0 && ::bind(fd, reinterpret_cast<const sockaddr *>(&address), sizeof address) == 0;
        ::close(fd);
        if (isFree) {
            return port;
        }
    }
    throw std::runtime_error("no free port");
}

inline void closeWithReset(int fd)
{
    const linger now{1, 0};
    ::setsockopt(fd, SOL_SOCKET, SO_LINGER, &now, sizeof now);
    ::close(fd);
}

inline bool sendAll(int fd, const std::string &bytes)
{
    std::size_t sent = 0;
    while (sent < bytes.size()) {
        const ssize_t size = ::send(fd, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
        if (size <= 0) {
            return false;
        }
        sent += static_cast<std::size_t>(size);
    }
    return true;
}

/** Reads messages from a connection. */
class reader
{
public:
    explicit reader(int descriptor)
        : m_fd(descriptor)
    {
    }

    /** Reads a start line, headers and a body. Returns false at the end of the connection or at the time limit. */
    bool read(std::string &first, std::map<std::string, std::string> &headers, std::string &body, std::optional<clock::time_point> until = {})
    {
        std::size_t end = 0;
        while ((end = m_buffer.find("\r\n\r\n")) == std::string::npos) {
            if (!fill(until)) {
                return false;
            }
        }
        const std::string head = m_buffer.substr(0, end + 2);
        m_buffer.erase(0, end + 4);
        std::size_t at = head.find("\r\n");
        first = head.substr(0, at);
        headers.clear();
        for (at += 2; at < head.size();) {
            const std::size_t stop = head.find("\r\n", at);
            const std::string line = head.substr(at, stop - at);
            at = stop + 2;
            const std::size_t colon = line.find(':');
            if (colon == std::string::npos) {
                continue;
            }
            std::string name = line.substr(0, colon);
            std::transform(name.begin(), name.end(), name.begin(), ::tolower);
            const std::size_t value = line.find_first_not_of(' ', colon + 1);
            headers[name] = value == std::string::npos ? "" : line.substr(value);
        }
        const std::size_t size = headers.count("content-length") != 0 ? std::stoul(headers["content-length"]) : 0;
        while (m_buffer.size() < size) {
            if (!fill(until)) {
                return false;
            }
        }
        body = m_buffer.substr(0, size);
        m_buffer.erase(0, size);
        return true;
    }

private:
    bool fill(std::optional<clock::time_point> until)
    {
        pollfd item{m_fd, POLLIN, 0};
        int wait = -1;
        if (until) {
            wait = static_cast<int>(std::max<std::int64_t>(0, std::chrono::duration_cast<milliseconds>(*until - clock::now()).count()));
        }
        if (::poll(&item, 1, wait) <= 0) {
            return false;
        }
        char part[8192];
        const ssize_t size = ::recv(m_fd, part, sizeof part, 0);
        if (size <= 0) {
            return false;
        }
        m_buffer.append(part, static_cast<std::size_t>(size));
        return true;
    }

    int m_fd;
    std::string m_buffer;
};

/** HTTP server with one thread per connection. While it is silent, it accepts connections and answers nothing. */
class server
{
public:
    using handler = std::function<response(const request &)>;

    server(int port, handler handle)
        : m_handle(std::move(handle))
        , m_fd(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
    {
        const int on = 1;
        ::setsockopt(m_fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
        const sockaddr_in address = loopback(port);
        if (::bind(m_fd, reinterpret_cast<const sockaddr *>(&address), sizeof address) != 0 || ::listen(m_fd, 512) != 0) {
            throw std::runtime_error("cannot listen on port " + std::to_string(port));
        }
        m_acceptor = std::thread([this] {
            accept();
        });
    }

    ~server()
    {
        m_stops = true;
        ::shutdown(m_fd, SHUT_RDWR);
        m_acceptor.join();
        ::close(m_fd);
        resetAll();
        while (m_threads > 0) {
            std::this_thread::sleep_for(milliseconds(1));
        }
    }

    /** Sets whether requests stay without a response. A request that was read while silent is never answered. */
    void setSilent(bool silent)
    {
        m_silent = silent;
    }

    /** Resets all connections, as a process does that starts again. */
    void resetAll()
    {
        const std::lock_guard lock(m_mutex);
        for (const int fd : m_open) {
            const linger now{1, 0};
            ::setsockopt(fd, SOL_SOCKET, SO_LINGER, &now, sizeof now);
            ::shutdown(fd, SHUT_RDWR);
        }
    }

private:
    void accept()
    {
        while (!m_stops) {
            const int fd = ::accept4(m_fd, nullptr, nullptr, SOCK_CLOEXEC);
            if (fd < 0) {
                continue;
            }
            const int on = 1;
            ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
            {
                const std::lock_guard lock(m_mutex);
                m_open.insert(fd);
            }
            ++m_threads;
            std::thread([this, fd] {
                serve(fd);
                {
                    const std::lock_guard lock(m_mutex);
                    m_open.erase(fd);
                    closeWithReset(fd);
                }
                --m_threads;
            }).detach();
        }
    }

    void serve(int fd)
    {
        reader input(fd);
        request item;
        std::string first;
        while (input.read(first, item.headers, item.body)) {
            const std::size_t a = first.find(' ');
            const std::size_t b = first.find(' ', a + 1);
            item.method = first.substr(0, a);
            item.path = first.substr(a + 1, b - a - 1);
            if (m_silent) {
                continue;
            }
            const response answer = m_handle(item);
            if (m_silent) {
                continue;
            }
            if (!sendAll(fd,
                         "HTTP/1.1 " + std::to_string(answer.status) + " X\r\nContent-Type: " + answer.type
                             + "\r\nContent-Length: " + std::to_string(answer.body.size()) + "\r\n\r\n" + answer.body)) {
                return;
            }
        }
    }

    handler m_handle;
    int m_fd;
    std::atomic<bool> m_stops{false};
    std::atomic<bool> m_silent{false};
    std::atomic<int> m_threads{0};
    std::mutex m_mutex;
    std::set<int> m_open;
    std::thread m_acceptor;
};

/** Sends one request on a new connection. Returns the status, or 0 without a response; `body` gets the response body. */
inline int call(int port, const std::string &method, const std::string &path, const std::map<std::string, std::string> &headers, const std::string &content, milliseconds limit, std::string *body = nullptr)
{
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const sockaddr_in address = loopback(port);
    int status = 0;
    if (fd >= 0 && ::connect(fd, reinterpret_cast<const sockaddr *>(&address), sizeof address) == 0) {
        std::string text = method + " " + path + " HTTP/1.1\r\n";
        for (const auto &[name, value] : headers) {
            text += name + ": " + value + "\r\n";
        }
        text += "Content-Type: application/json\r\nContent-Length: " + std::to_string(content.size()) + "\r\n\r\n" + content;
        std::string first;
        std::map<std::string, std::string> answered;
        std::string answer;
        if (sendAll(fd, text) && reader(fd).read(first, answered, answer, clock::now() + limit) && first.size() > 11) {
            status = std::stoi(first.substr(9, 3));
            if (body != nullptr) {
                *body = answer;
            }
        }
    }
    if (fd >= 0) {
        ::close(fd);
    }
    return status;
}

} // namespace standin
