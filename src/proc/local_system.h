#pragma once

#include "log/logger.h"

#include <memory>
#include <string>

namespace teaselward
{

namespace detail
{
class local_system_private;
}

/** Runs an entry, an agent, a platform log in memory and an endpoint as threads of one process. */
class local_system
{
public:
    /**
     * Starts all components and publishes the kind `echo`.
     * @param listen address for callers as IP:PORT
     * @param log receiver of the log lines; it must outlive the system
     * @throws std::system_error if a listener cannot be opened
     */
    local_system(const std::string &listen, logger &log);
    ~local_system();

    local_system(const local_system &) = delete;
    local_system &operator=(const local_system &) = delete;

    /** Begins the graceful shutdown. May be called from any thread and more than once. */
    void requestStop();

    /** Blocks until the graceful shutdown has ended. */
    void waitForStop();

private:
    std::unique_ptr<detail::local_system_private> d;
};

} // namespace teaselward
