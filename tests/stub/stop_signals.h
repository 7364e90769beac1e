#pragma once

#include <csignal>

#include <pthread.h>

namespace teaselward
{

/** SIGTERM and SIGINT of a stand-in that runs as a program of its own. Created before the threads start, so that all inherit it. */
class stop_signals
{
public:
    /** Blocks the signals, so that only wait() takes them. */
    stop_signals()
    {
        sigemptyset(&m_signals);
        sigaddset(&m_signals, SIGTERM);
        sigaddset(&m_signals, SIGINT);
        pthread_sigmask(SIG_BLOCK, &m_signals, nullptr);
    }

    /** Waits for one of the signals. */
    void wait() const
    {
        int signal = 0;
        sigwait(&m_signals, &signal);
    }

private:
    sigset_t m_signals{};
};

} // namespace teaselward
