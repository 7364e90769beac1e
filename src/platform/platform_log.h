#pragma once

#include "platform/log_record.h"

#include <chrono>
#include <cstdint>
#include <string_view>
#include <system_error>
#include <vector>

namespace teaselward
{

/** Client of the platform's append-only log. Calls block; only the platform thread makes them. */
class platform_log
{
public:
    virtual ~platform_log() = default;

    /**
     * Appends a record. After an error the record may have been appended all the same.
     * @param stream name of the stream
     * @param body content of the record
     * @param timeout longest time to wait
     * @param offset set to the offset of the record
     * @return no error, or an error of the platform layer
     */
    virtual std::error_code append(std::string_view stream, std::string_view body, std::chrono::milliseconds timeout, std::uint64_t &offset) = 0;

    /**
     * Reads records in the order of their offsets.
     * @param stream name of the stream
     * @param from lowest offset wanted
     * @param wait longest time to wait for a first record
     * @param records set to the records; empty if there is none yet
     * @return no error, or an error of the platform layer
     */
    virtual std::error_code read(std::string_view stream, std::uint64_t from, std::chrono::milliseconds wait, std::vector<log_record> &records) = 0;
};

} // namespace teaselward
