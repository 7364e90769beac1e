#pragma once

#include <functional>
#include <memory>

namespace teaselward
{

namespace detail
{
class signal_watch_private;
}

/**
 * Thread that waits for SIGTERM, SIGINT and SIGHUP. It must be created before any other thread, so that every thread inherits the
 * blocked signals.
 */
class signal_watch
{
public:
    /**
     * Blocks the signals and starts the thread.
     * @param requestStop called for SIGTERM and SIGINT
     * @param reload called for SIGHUP, which operators send after a change of the settings file
     */
    signal_watch(std::function<void()> requestStop, std::function<void()> reload);
    ~signal_watch();

    signal_watch(const signal_watch &) = delete;
    signal_watch &operator=(const signal_watch &) = delete;

private:
    std::unique_ptr<detail::signal_watch_private> d;
};

} // namespace teaselward
