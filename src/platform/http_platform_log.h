#pragma once

#include "platform/http_platform_log_settings.h"
#include "platform/keyed_page.h"
#include "platform/platform_log.h"

#include <memory>

namespace teaselward
{

namespace detail
{
class http_platform_log_private;
}

/** HTTP client of the platform's log store. Reads reuse one connection. Only one thread at a time may call it. */
class http_platform_log : public platform_log
{
public:
    /**
     * Creates the client; it connects on the first call.
     * @param settings address, timeouts and limits
     * @throws std::bad_alloc if libcurl cannot create a handle
     */
    explicit http_platform_log(http_platform_log_settings settings);
    ~http_platform_log() override;

    http_platform_log(const http_platform_log &) = delete;
    http_platform_log &operator=(const http_platform_log &) = delete;

    std::error_code append(std::string_view stream, std::string_view body, std::chrono::milliseconds timeout, std::uint64_t &offset) override;
    std::error_code read(std::string_view stream, std::uint64_t from, std::chrono::milliseconds wait, log_page &page) override;

    /**
     * Reads the latest record of each key of a keyed topic.
     * @param topic name of the topic
     * @param part number of the partition
     * @param timeout timeout of the request of each page
     * @param all set to the records of all pages
     * @return no error, or an error of the platform layer
     */
    std::error_code newest(std::string_view topic, std::uint32_t part, std::chrono::milliseconds timeout, keyed_page &all);

    /**
     * Appends a record to a partition of a keyed topic.
     * @param topic name of the topic
     * @param part number of the partition
     * @param record key and value; its offset is not used
     * @param timeout timeout of the request
     * @return no error, or an error of the platform layer
     */
    std::error_code appendKeyed(std::string_view topic, std::uint32_t part, const keyed_record &record, std::chrono::milliseconds timeout);

private:
    std::unique_ptr<detail::http_platform_log_private> d;
};

} // namespace teaselward
