#pragma once

#include "platform/platform_log.h"
#include "support/log_faults.h"

#include <absl/synchronization/mutex.h>

namespace teaselward
{

/** Forwards calls to another log and injects the faults that a test has set. Thread-safe. */
class faulty_log : public platform_log
{
public:
    /** @param log the wrapped log; it must outlive this object */
    explicit faulty_log(platform_log &log);

    /** Replaces the injected faults. @param faults faults of all later calls */
    void setFaults(const log_faults &faults);

    std::error_code append(std::string_view stream, std::string_view body, std::chrono::milliseconds timeout, std::uint64_t &offset) override;
    std::error_code read(std::string_view stream, std::uint64_t from, std::chrono::milliseconds wait, log_page &page) override;

private:
    bool isDown() const;
    bool consumeFault(int log_faults::*count);
    std::chrono::milliseconds delay() const;

    platform_log &m_log;
    mutable absl::Mutex m_mutex;
    log_faults m_faults ABSL_GUARDED_BY(m_mutex);
};

} // namespace teaselward
