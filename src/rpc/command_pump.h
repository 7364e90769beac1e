#pragma once

#include "base/bounded_ring.h"
#include "base/wake_fd.h"

#include <kj/async-unix.h>

#include <functional>
#include <utility>

namespace teaselward
{

/** Handles the commands of a ring on the thread of a KJ event loop, which sleeps until the ring's waker signals. */
template<typename T>
class command_pump
{
public:
    /**
     * Creates the pump; the ring's waker must signal the descriptor.
     * @param ring commands from other threads
     * @param wake descriptor that the waker signals
     * @param port event port of the loop
     * @param handle called with each command
     */
    command_pump(bounded_ring<T> &ring, wake_fd &wake, kj::UnixEventPort &port, std::function<void(T &&)> handle)
        : m_ring(ring)
        , m_wake(wake)
        , m_observer(port, wake.descriptor(), kj::UnixEventPort::FdObserver::OBSERVE_READ)
        , m_handle(std::move(handle))
    {
    }

    /** @return promise that resolves once the ring is closed and empty */
    kj::Promise<void> run()
    {
        // The promise is created before the ring is read, so that a signal in between is not lost.
        auto readable = m_observer.whenBecomesReadable();
        m_wake.clear();
        for (int taken = 0; taken < MaxBatch; ++taken) {
            auto command = m_ring.tryPop();
            if (!command) {
                break;
            }
            m_handle(std::move(*command));
            if (taken + 1 == MaxBatch) {
                m_wake.signal();
            }
        }
        if (m_ring.isFinished()) {
            return kj::READY_NOW;
        }
        return readable.then([this] {
            return run();
        });
    }

private:
    // Commands per turn of the event loop, so that a steady stream of commands does not keep the loop from reading its sockets.
    static constexpr int MaxBatch = 256;

    bounded_ring<T> &m_ring;
    wake_fd &m_wake;
    kj::UnixEventPort::FdObserver m_observer;
    std::function<void(T &&)> m_handle;
};

} // namespace teaselward
