#pragma once

#include <boost/log/core/record_view.hpp>

#include <atomic>
#include <cstdint>

namespace teaselward::detail
{

/** Overflow strategy of the Boost.Log queue: drops the new record and counts it, so that no caller ever waits for output. */
class counting_overflow
{
public:
    /** @return number of records dropped by all queues of the program */
    static std::uint64_t count()
    {
        return s_count.load(std::memory_order_relaxed);
    }

protected:
    // Called by the queue with its mutex locked. Returning false makes the queue drop the record.
    template<typename Lock>
    static bool on_overflow(const boost::log::record_view & /*record*/, Lock & /*lock*/) // NOLINT(readability-identifier-naming)
    {
        s_count.fetch_add(1, std::memory_order_relaxed);
        return false;
    }

    static void on_queue_space_available() // NOLINT(readability-identifier-naming)
    {
    }

    static void interrupt()
    {
    }

private:
    inline static std::atomic<std::uint64_t> s_count{0};
};

} // namespace teaselward::detail
