#include "rpc/monitored_stream.h"

#include "base/clock.h"

#include <utility>

namespace teaselward
{

monitored_stream::monitored_stream(kj::Own<kj::AsyncIoStream> inner, session_monitor &monitor, traffic_counter &traffic)
    : m_inner(std::move(inner))
    , m_monitor(monitor)
    , m_traffic(traffic)
{
}

kj::Promise<std::size_t> monitored_stream::tryRead(void *buffer, std::size_t minBytes, std::size_t maxBytes)
{
    return readMore(static_cast<kj::byte *>(buffer), minBytes, maxBytes, 0);
}

// Reads in pieces, so that a large message on a slow network renews the lease while it is arriving.
kj::Promise<std::size_t> monitored_stream::readMore(kj::byte *buffer, std::size_t minBytes, std::size_t maxBytes, std::size_t done)
{
    return m_inner->tryRead(buffer, minBytes > 0 ? 1 : 0, maxBytes)
        .then([this, buffer, minBytes, maxBytes, done](std::size_t bytes) -> kj::Promise<std::size_t> {
            if (bytes > 0) {
                m_monitor.recordReceived(mono_clock::now());
                m_traffic.addReceived(bytes);
            }
            if (bytes == 0 || bytes >= minBytes) {
                return done + bytes;
            }
            return readMore(buffer + bytes, minBytes - bytes, maxBytes - bytes, done + bytes);
        });
}

kj::Promise<void> monitored_stream::write(const void *buffer, std::size_t size)
{
    recordSent(size);
    return m_inner->write(buffer, size);
}

kj::Promise<void> monitored_stream::write(kj::ArrayPtr<const kj::ArrayPtr<const kj::byte>> pieces)
{
    std::size_t size = 0;
    for (const auto &piece : pieces) {
        size += piece.size();
    }
    recordSent(size);
    return m_inner->write(pieces);
}

kj::Promise<void> monitored_stream::whenWriteDisconnected()
{
    return m_inner->whenWriteDisconnected();
}

void monitored_stream::shutdownWrite()
{
    m_inner->shutdownWrite();
}

void monitored_stream::abortRead()
{
    m_inner->abortRead();
}

void monitored_stream::getsockopt(int level, int option, void *value, kj::uint *length)
{
    m_inner->getsockopt(level, option, value, length);
}

void monitored_stream::setsockopt(int level, int option, const void *value, kj::uint length)
{
    m_inner->setsockopt(level, option, value, length);
}

void monitored_stream::recordSent(std::size_t bytes)
{
    m_monitor.recordSent(mono_clock::now());
    m_traffic.addSent(bytes);
}

} // namespace teaselward
