#include "base/wake_fd.h"

#include <sys/eventfd.h>
#include <unistd.h>

#include <cerrno>
#include <system_error>

namespace teaselward
{

wake_fd::wake_fd()
    : m_descriptor(::eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC))
{
    if (m_descriptor < 0) {
        throw std::system_error(errno, std::generic_category(), "eventfd");
    }
}

wake_fd::~wake_fd()
{
    ::close(m_descriptor);
}

int wake_fd::descriptor() const
{
    return m_descriptor;
}

void wake_fd::signal() const
{
    // A failed write means that the counter is at its maximum, so the descriptor is already readable.
    [[maybe_unused]] const int result = ::eventfd_write(m_descriptor, 1);
}

void wake_fd::clear() const
{
    eventfd_t count = 0;
    [[maybe_unused]] const int result = ::eventfd_read(m_descriptor, &count);
}

} // namespace teaselward
