#pragma once

#include "log/logger.h"
#include "platform/http_platform_log.h"
#include "platform/platform_log.h"
#include "settings/entry_settings.h"

#include <memory>

namespace teaselward
{

namespace detail
{
class entry_process_private;
}

/** Entry process: owns its threads and the rings between them. */
class entry_process
{
public:
    /**
     * Starts all threads and follows the configuration in a stream of the platform log.
     * @param settings checked settings
     * @param platform client of the platform log; it must outlive the process
     * @param log receiver of the log lines; it must outlive the process
     * @throws std::system_error if a listener cannot be opened
     */
    entry_process(const entry_settings &settings, platform_log &platform, logger &log);

    /**
     * Starts all threads. If the settings name the platform's store, the entry reads its routes there and serves the platform's
     * clients; otherwise it follows the configuration in a stream of the platform log.
     * @param settings checked settings
     * @param platform client of the platform's store; it must outlive the process
     * @param log receiver of the log lines; it must outlive the process
     * @throws std::system_error if a listener cannot be opened
     */
    entry_process(const entry_settings &settings, http_platform_log &platform, logger &log);
    ~entry_process();

    entry_process(const entry_process &) = delete;
    entry_process &operator=(const entry_process &) = delete;

    /** Begins the graceful shutdown. May be called from any thread and more than once. */
    void requestStop();

    /** Blocks until the graceful shutdown has ended. */
    void waitForStop();

private:
    std::unique_ptr<detail::entry_process_private> d;
};

} // namespace teaselward
