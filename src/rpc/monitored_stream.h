#pragma once

#include "member/session_monitor.h"
#include "rpc/traffic_counter.h"

#include <kj/async-io.h>

namespace teaselward
{

/** Stream that reports every transfer to its session's monitor and to the adapter's traffic counter. */
class monitored_stream : public kj::AsyncIoStream
{
public:
    /**
     * Wraps a connection.
     * @param inner the connection
     * @param monitor monitor of the session's lease; it must outlive the stream
     * @param traffic byte counter of the adapter; it must outlive the stream
     */
    monitored_stream(kj::Own<kj::AsyncIoStream> inner, session_monitor &monitor, traffic_counter &traffic);

    kj::Promise<std::size_t> tryRead(void *buffer, std::size_t minBytes, std::size_t maxBytes) override;
    kj::Promise<void> write(const void *buffer, std::size_t size) override;
    kj::Promise<void> write(kj::ArrayPtr<const kj::ArrayPtr<const kj::byte>> pieces) override;
    kj::Promise<void> whenWriteDisconnected() override;
    void shutdownWrite() override;
    void abortRead() override;
    void getsockopt(int level, int option, void *value, kj::uint *length) override;
    void setsockopt(int level, int option, const void *value, kj::uint length) override;

private:
    kj::Promise<std::size_t> readMore(kj::byte *buffer, std::size_t minBytes, std::size_t maxBytes, std::size_t done);
    void recordSent(std::size_t bytes);

    kj::Own<kj::AsyncIoStream> m_inner;
    session_monitor &m_monitor;
    traffic_counter &m_traffic;
};

} // namespace teaselward
