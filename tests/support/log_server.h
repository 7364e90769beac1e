#pragma once

#include "platform/memory_platform_log.h"
#include "support/faulty_log.h"

#include <cstdint>
#include <memory>
#include <string>

namespace teaselward
{

namespace detail
{
class log_server_private;
}

/** Stub of the platform log: serves an in-memory log over the platform's HTTP protocol and injects faults. */
class log_server
{
public:
    /**
     * Opens the listener and starts serving requests.
     * @param address IPv4 address as IP:PORT; port 0 selects a free port
     * @param settings settings of the in-memory log
     * @throws std::runtime_error if the listener cannot be opened
     */
    explicit log_server(const std::string &address = "127.0.0.1:0", const memory_platform_log_settings &settings = {});
    ~log_server();

    log_server(const log_server &) = delete;
    log_server &operator=(const log_server &) = delete;

    /** @return address of the listener as IP:PORT */
    const std::string &address() const;

    /** @return base URL for http_platform_log_settings */
    std::string url() const;

    /** @return the in-memory log; calls on it bypass the faults */
    memory_platform_log &log();

    /** Replaces the injected faults. @param faults faults of all later requests */
    void setFaults(const log_faults &faults);

private:
    std::unique_ptr<detail::log_server_private> d;
};

} // namespace teaselward
