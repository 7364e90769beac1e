#include "http/raw_connection.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cctype>
#include <stdexcept>

namespace teaselward
{

raw_connection::raw_connection(const std::string &address)
{
    const auto colon = address.rfind(':');
    sockaddr_in target{};
    target.sin_family = AF_INET;
    target.sin_port = htons(static_cast<std::uint16_t>(std::stoi(address.substr(colon + 1))));
    inet_pton(AF_INET, address.substr(0, colon).c_str(), &target.sin_addr);
    m_descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (m_descriptor < 0 || ::connect(m_descriptor, reinterpret_cast<sockaddr *>(&target), sizeof(target)) != 0) {
        ::close(m_descriptor);
        throw std::runtime_error("cannot connect to " + address);
    }
}

raw_connection::~raw_connection()
{
    ::close(m_descriptor);
}

bool raw_connection::send(std::string_view bytes) const
{
    while (!bytes.empty()) {
        const ssize_t sent = ::send(m_descriptor, bytes.data(), bytes.size(), MSG_NOSIGNAL);
        if (sent <= 0) {
            return false;
        }
        bytes.remove_prefix(static_cast<std::size_t>(sent));
    }
    return true;
}

bool raw_connection::sendRequest(const std::string &method, const std::string &path, const std::string &body, const std::string &headers) const
{
    return send(method + " " + path + " HTTP/1.1\r\nHost: test\r\nContent-Length: " + std::to_string(body.size()) + "\r\n" + headers + "\r\n" + body);
}

// Reads more bytes. Returns false if the connection has ended or the time limit has passed.
bool raw_connection::fill(std::chrono::steady_clock::time_point until)
{
    const auto left = std::chrono::ceil<std::chrono::milliseconds>(until - std::chrono::steady_clock::now());
    pollfd entry{m_descriptor, POLLIN, 0};
    if (left.count() <= 0 || ::poll(&entry, 1, static_cast<int>(left.count())) <= 0) {
        return false;
    }
    std::array<char, 16384> bytes{};
    const ssize_t size = ::recv(m_descriptor, bytes.data(), bytes.size(), 0);
    if (size <= 0) {
        return false;
    }
    m_buffer.append(bytes.data(), static_cast<std::size_t>(size));
    return true;
}

std::optional<raw_response> raw_connection::read(std::chrono::milliseconds limit)
{
    const auto until = std::chrono::steady_clock::now() + limit;
    std::size_t end = 0;
    while ((end = m_buffer.find("\r\n\r\n")) == std::string::npos) {
        if (!fill(until)) {
            return std::nullopt;
        }
    }
    raw_response response;
    response.status = std::stoi(m_buffer.substr(m_buffer.find(' ') + 1));
    std::size_t line = m_buffer.find("\r\n") + 2;
    while (line < end + 2) {
        const std::size_t next = m_buffer.find("\r\n", line);
        const std::size_t colon = m_buffer.find(':', line);
        std::string name = m_buffer.substr(line, colon - line);
        std::transform(name.begin(), name.end(), name.begin(), [](unsigned char c) {
            return static_cast<char>(std::tolower(c));
        });
        response.headers[name] = m_buffer.substr(colon + 2, next - colon - 2);
        line = next + 2;
    }
    const std::size_t length = response.headers.count("content-length") != 0 ? std::stoul(response.headers["content-length"]) : 0;
    while (m_buffer.size() < end + 4 + length) {
        if (!fill(until)) {
            return std::nullopt;
        }
    }
    response.body = m_buffer.substr(end + 4, length);
    m_buffer.erase(0, end + 4 + length);
    return response;
}

bool raw_connection::waitForClose(std::chrono::milliseconds limit)
{
    const auto until = std::chrono::steady_clock::now() + limit;
    while (fill(until)) {
    }
    return std::chrono::steady_clock::now() < until;
}

raw_response request(const std::string &address, const std::string &method, const std::string &path, const std::string &body, const std::string &headers)
{
    raw_connection connection(address);
    connection.sendRequest(method, path, body, headers);
    auto response = connection.read();
    if (!response) {
        throw std::runtime_error("no response to " + method + " " + path);
    }
    return std::move(*response);
}

} // namespace teaselward
