#pragma once

namespace teaselward
{

/** Event file descriptor that wakes the event loop of a library from another thread. */
class wake_fd
{
public:
    /** @throws std::system_error if the descriptor cannot be created */
    wake_fd();
    ~wake_fd();

    wake_fd(const wake_fd &) = delete;
    wake_fd &operator=(const wake_fd &) = delete;

    /** @return the descriptor, which is readable from signal() until clear() */
    int descriptor() const;

    /** Makes the descriptor readable. May be called from any thread. */
    void signal() const;

    /** Resets the descriptor to not readable. */
    void clear() const;

private:
    int m_descriptor;
};

} // namespace teaselward
