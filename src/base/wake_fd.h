#pragma once

namespace teaselward
{

/** Event file descriptor that wakes an event loop of a library from another thread. */
class wake_fd
{
public:
    /** @throws std::system_error if no descriptor is left */
    wake_fd();
    ~wake_fd();

    wake_fd(const wake_fd &) = delete;
    wake_fd &operator=(const wake_fd &) = delete;

    /** @return descriptor that is readable after signal() until clear() */
    int descriptor() const;

    /** Makes the descriptor readable. May be called from any thread. */
    void signal() const;

    /** Makes the descriptor unreadable again. */
    void clear() const;

private:
    int m_descriptor;
};

} // namespace teaselward
