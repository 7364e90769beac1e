#pragma once

#include <absl/base/thread_annotations.h>
#include <absl/synchronization/mutex.h>

#include <functional>

namespace teaselward
{

/** Passes a signal on to an object that may not exist yet or may be destroyed already. */
class signal_relay
{
public:
    /** Records a signal and calls the connected function, if any. */
    void signal()
    {
        absl::MutexLock lock(&m_mutex);
        m_signalled = true;
        callTarget();
    }

    /**
     * Connects the function that handles the signal. It is called at once if a signal has come already.
     * @param target the function
     */
    void connect(std::function<void()> target)
    {
        absl::MutexLock lock(&m_mutex);
        m_target = std::move(target);
        callTarget();
    }

    /** Removes the function; later signals have no effect. */
    void disconnect()
    {
        absl::MutexLock lock(&m_mutex);
        m_target = nullptr;
    }

private:
    void callTarget() ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex)
    {
        if (m_signalled && m_target) {
            m_target();
        }
    }

    absl::Mutex m_mutex;
    bool m_signalled ABSL_GUARDED_BY(m_mutex) = false;
    std::function<void()> m_target ABSL_GUARDED_BY(m_mutex);
};

} // namespace teaselward
