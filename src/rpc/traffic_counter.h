#pragma once

#include "rpc/rpc_traffic.h"

#include <atomic>
#include <cstdint>

namespace teaselward
{

/** Counts the bytes of all connections of an adapter. The adapter's thread writes it; any thread may read it. */
class traffic_counter
{
public:
    void addSent(std::uint64_t bytes)
    {
        m_sent.fetch_add(bytes, std::memory_order_relaxed);
    }

    void addReceived(std::uint64_t bytes)
    {
        m_received.fetch_add(bytes, std::memory_order_relaxed);
    }

    /** @return totals since the start of the adapter */
    rpc_traffic totals() const
    {
        return {m_sent.load(std::memory_order_relaxed), m_received.load(std::memory_order_relaxed)};
    }

private:
    std::atomic<std::uint64_t> m_sent{0};
    std::atomic<std::uint64_t> m_received{0};
};

} // namespace teaselward
