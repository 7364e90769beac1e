#pragma once

#include <csignal>

#include <pthread.h>

namespace teaselward
{

/** Waits for SIGTERM or SIGINT in a stub program. Must be created before any thread starts, so that all threads inherit the signal mask. */
class stop_signals
{
public:
    /** Blocks both signals, so that only wait() receives them. */
    stop_signals()
    {
        sigemptyset(&m_signals);
        sigaddset(&m_signals, SIGTERM);
        sigaddset(&m_signals, SIGINT);
        pthread_sigmask(SIG_BLOCK, &m_signals, nullptr);
    }

    /** Blocks until one of the signals arrives. */
    void wait() const
    {
        int signal = 0;
        sigwait(&m_signals, &signal);
    }

private:
    sigset_t m_signals{};
};

} // namespace teaselward
