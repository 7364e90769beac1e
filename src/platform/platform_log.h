#pragma once

#include "platform/log_page.h"

#include <chrono>
#include <cstdint>
#include <string_view>
#include <system_error>

namespace teaselward
{

/** Client of the platform's append-only log. Calls block, so the decision thread must not make them. */
class platform_log
{
public:
    virtual ~platform_log() = default;

    /**
     * Appends a record. Even after an error the record may have been appended.
     * @param stream name of the stream
     * @param body content of the record
     * @param timeout longest time to wait
     * @param offset set to the offset of the record
     * @return no error, or an error of the platform layer
     */
    virtual std::error_code append(std::string_view stream, std::string_view body, std::chrono::milliseconds timeout, std::uint64_t &offset) = 0;

    /**
     * Reads a page of records in the order of their offsets. A page is bounded in size; the caller repeats the call until it has reached
     * page.next.
     * @param stream name of the stream
     * @param from lowest offset to return; the first offset of a stream is 1
     * @param wait longest time to wait for a first record
     * @param page set to the records and the retained range
     * @return no error, or an error of the platform layer; platform_error::belowRetention if records from that offset on were dropped
     */
    virtual std::error_code read(std::string_view stream, std::uint64_t from, std::chrono::milliseconds wait, log_page &page) = 0;
};

} // namespace teaselward
