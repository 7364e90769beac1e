#include "proc/signal_watch.h"

#include "base/duty_thread.h"

#include <csignal>
#include <unistd.h>
#include <utility>

namespace teaselward
{

namespace
{

// Ends the thread when the process stops for a reason other than a signal.
constexpr int EndSignal = SIGUSR1;

sigset_t blockSignals()
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    sigaddset(&signals, SIGHUP);
    sigaddset(&signals, EndSignal);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    std::signal(SIGPIPE, SIG_IGN);
    return signals;
}

} // namespace

namespace detail
{

class signal_watch_private
{
public:
    signal_watch_private(std::function<void()> stop, std::function<void()> reloaded)
        : requestStop(std::move(stop))
        , reload(std::move(reloaded))
    {
    }

    void run()
    {
        int number = 0;
        while (sigwait(&signals, &number) == 0 && number != EndSignal) {
            (number == SIGHUP ? reload : requestStop)();
        }
    }

    sigset_t signals = blockSignals();
    std::function<void()> requestStop;
    std::function<void()> reload;
    duty_thread thread{"signals", [this] {
                           run();
                       }};
};

} // namespace detail

signal_watch::signal_watch(std::function<void()> requestStop, std::function<void()> reload)
    : d(std::make_unique<detail::signal_watch_private>(std::move(requestStop), std::move(reload)))
{
}

signal_watch::~signal_watch()
{
    ::kill(::getpid(), EndSignal);
}

} // namespace teaselward
