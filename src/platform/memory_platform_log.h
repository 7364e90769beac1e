#pragma once

#include "platform/memory_platform_log_settings.h"
#include "platform/platform_log.h"

#include <memory>

namespace teaselward
{

namespace detail
{
class memory_platform_log_private;
}

/** In-memory log for `teaselward local` and for tests. Any thread may call it. */
class memory_platform_log : public platform_log
{
public:
    /**
     * Creates a log without streams.
     * @param settings retention and limits
     */
    explicit memory_platform_log(memory_platform_log_settings settings = {});
    ~memory_platform_log() override;

    memory_platform_log(const memory_platform_log &) = delete;
    memory_platform_log &operator=(const memory_platform_log &) = delete;

    std::error_code append(std::string_view stream, std::string_view body, std::chrono::milliseconds timeout, std::uint64_t &offset) override;
    std::error_code read(std::string_view stream, std::uint64_t from, std::chrono::milliseconds wait, log_page &page) override;

    /**
     * Drops the records below an offset, as retention does.
     * @param stream name of the stream
     * @param first lowest offset to retain
     */
    void dropBelow(std::string_view stream, std::uint64_t first);

private:
    std::unique_ptr<detail::memory_platform_log_private> d;
};

} // namespace teaselward
