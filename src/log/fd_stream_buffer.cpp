#include "log/fd_stream_buffer.h"

#include <unistd.h>

#include <cerrno>

namespace teaselward
{

fd_stream_buffer::fd_stream_buffer(int descriptor)
    : m_descriptor(descriptor)
{
    setp(m_buffer.data(), m_buffer.data() + m_buffer.size());
}

fd_stream_buffer::int_type fd_stream_buffer::overflow(int_type next)
{
    if (sync() != 0) {
        return traits_type::eof();
    }
    if (!traits_type::eq_int_type(next, traits_type::eof())) {
        *pptr() = traits_type::to_char_type(next);
        pbump(1);
    }
    return traits_type::not_eof(next);
}

// Bytes that cannot be written are dropped. An error is not reported, because the stream would then refuse all later lines, and there is
// no other place to write it to.
int fd_stream_buffer::sync()
{
    const char *data = pbase();
    while (data < pptr()) {
        const ssize_t written = ::write(m_descriptor, data, static_cast<std::size_t>(pptr() - data));
        if (written < 0 && errno == EINTR) {
            continue;
        }
        if (written < 0) {
            break;
        }
        data += written;
    }
    setp(m_buffer.data(), m_buffer.data() + m_buffer.size());
    return 0;
}

} // namespace teaselward
