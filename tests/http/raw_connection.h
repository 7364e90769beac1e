#pragma once

#include <chrono>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace teaselward
{

/** Parsed response of a raw connection. */
struct raw_response {
    int status = 0;
    std::map<std::string, std::string> headers; ///< Names in lower case.
    std::string body;
};

/** TCP connection that sends arbitrary bytes, so that tests can violate the protocol. */
class raw_connection
{
public:
    /** Connects to IP:PORT. Throws std::runtime_error if that fails. */
    explicit raw_connection(const std::string &address);
    ~raw_connection();

    raw_connection(const raw_connection &) = delete;
    raw_connection &operator=(const raw_connection &) = delete;

    /** Sends bytes. Returns false if the other side has closed the connection. */
    bool send(std::string_view bytes) const;

    /** Sends a request with a body and its length. */
    bool sendRequest(const std::string &method, const std::string &path, const std::string &body, const std::string &headers = {}) const;

    /** Reads one response. Returns std::nullopt if the connection ends first or the time limit has passed. */
    std::optional<raw_response> read(std::chrono::milliseconds limit = std::chrono::seconds(20));

    /** Waits until the other side closes the connection. Returns false if the time limit has passed. */
    bool waitForClose(std::chrono::milliseconds limit = std::chrono::seconds(20));

private:
    bool fill(std::chrono::steady_clock::time_point until);

    int m_descriptor = -1;
    std::string m_buffer;
};

/** Sends one request on a new connection and reads the response. Throws std::runtime_error if there is none. */
raw_response
request(const std::string &address, const std::string &method, const std::string &path, const std::string &body = {}, const std::string &headers = {});

} // namespace teaselward
