#pragma once

#include "platform/platform_log.h"
#include "support/log_faults.h"

#include <absl/synchronization/mutex.h>

namespace teaselward
{

/** Passes calls on to another log and adds the faults that a test switches on. Any thread may call it. */
class faulty_log : public platform_log
{
public:
    /** @param log the log; it must outlive this one */
    explicit faulty_log(platform_log &log);

    /** @param faults faults of the calls from now on */
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
