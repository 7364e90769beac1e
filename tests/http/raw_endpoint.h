#pragma once

#include <atomic>
#include <functional>
#include <string>
#include <thread>

namespace teaselward
{

/** Endpoint that can violate the protocol: it passes each accepted connection to a function, one after the other. */
class raw_endpoint
{
public:
    /** Listens on an ephemeral port of the loopback address. The descriptor is closed after the function returns. */
    explicit raw_endpoint(std::function<void(int descriptor)> serve);
    ~raw_endpoint();

    raw_endpoint(const raw_endpoint &) = delete;
    raw_endpoint &operator=(const raw_endpoint &) = delete;

    const std::string &address() const;

    /** Number of connections that were accepted. */
    int accepted() const;

    /** Reads a request with a body of a given size. */
    static std::string readRequest(int descriptor, std::size_t bodySize);

    /** Writes all bytes. */
    static void write(int descriptor, const std::string &bytes);

private:
    int m_descriptor;
    std::string m_address;
    std::function<void(int)> m_serve;
    std::atomic<int> m_accepted = 0;
    std::thread m_thread;
};

} // namespace teaselward
