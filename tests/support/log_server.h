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

/** Stand-in for the platform log: a log in memory behind the platform's HTTP protocol, with faults. */
class log_server
{
public:
    /**
     * Opens the listener and starts to serve.
     * @param address IPv4 address as IP:PORT; port 0 takes a free one
     * @param settings settings of the log in memory
     * @throws std::runtime_error if the listener cannot be opened
     */
    explicit log_server(const std::string &address = "127.0.0.1:0", const memory_platform_log_settings &settings = {});
    ~log_server();

    log_server(const log_server &) = delete;
    log_server &operator=(const log_server &) = delete;

    /** @return address as IP:PORT */
    const std::string &address() const;

    /** @return base address for http_platform_log_settings */
    std::string url() const;

    /** @return the log in memory */
    memory_platform_log &log();

    /** @param faults faults of the requests from now on */
    void setFaults(const log_faults &faults);

private:
    std::unique_ptr<detail::log_server_private> d;
};

} // namespace teaselward
