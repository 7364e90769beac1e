#include "support/faulty_log.h"

#include "platform/platform_error.h"

#include <thread>

namespace teaselward
{

faulty_log::faulty_log(platform_log &log)
    : m_log(log)
{
}

void faulty_log::setFaults(const log_faults &faults)
{
    absl::MutexLock lock(&m_mutex);
    m_faults = faults;
}

bool faulty_log::isDown() const
{
    absl::MutexLock lock(&m_mutex);
    return m_faults.isDown;
}

// Decrements a fault counter. Returns false if the counter is zero already.
bool faulty_log::consumeFault(int log_faults::*count)
{
    absl::MutexLock lock(&m_mutex);
    if (m_faults.*count == 0) {
        return false;
    }
    --(m_faults.*count);
    return true;
}

std::chrono::milliseconds faulty_log::delay() const
{
    absl::MutexLock lock(&m_mutex);
    return m_faults.delay;
}

std::error_code faulty_log::append(std::string_view stream, std::string_view body, std::chrono::milliseconds timeout, std::uint64_t &offset)
{
    std::this_thread::sleep_for(delay());
    if (isDown()) {
        return platform_error::unavailable;
    }
    if (consumeFault(&log_faults::droppedAppends)) {
        return platform_error::responseLost;
    }
    const std::error_code error = m_log.append(stream, body, timeout, offset);
    std::uint64_t duplicateOffset = 0;
    if (!error && consumeFault(&log_faults::duplicates)) {
        m_log.append(stream, body, timeout, duplicateOffset);
    }
    return !error && consumeFault(&log_faults::lostResponses) ? std::error_code(platform_error::responseLost) : error;
}

// The fault is checked again after the read, because a test may take the log down while the read waits.
std::error_code faulty_log::read(std::string_view stream, std::uint64_t from, std::chrono::milliseconds wait, log_page &page)
{
    std::this_thread::sleep_for(delay());
    if (isDown()) {
        return platform_error::unavailable;
    }
    const std::error_code error = m_log.read(stream, from, wait, page);
    return isDown() ? std::error_code(platform_error::unavailable) : error;
}

} // namespace teaselward
