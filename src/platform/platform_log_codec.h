#pragma once

#include "platform/keyed_page.h"
#include "platform/keyed_record.h"
#include "platform/log_page.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace teaselward
{

// Offsets start at 1 in this code and at 0 on the wire.

/**
 * Encodes a record for the body of an append request: its length, then its content.
 * @param body content of the record
 */
std::string encodeRecord(std::string_view body);

/**
 * Decodes the body of an append request.
 * @param bytes body of the request
 * @param bodies the contents of the records are appended here
 * @return false if the bytes are malformed
 */
bool decodeRecords(std::string_view bytes, std::vector<std::string> &bodies);

/** @param offset offset of the appended record @return body of the response to an append */
std::string encodeAppendResponse(std::uint64_t offset);

/**
 * Decodes the response to an append.
 * @param text body of the response
 * @param offset set to the offset of the record
 * @return false if the response is malformed
 */
bool decodeAppendResponse(std::string_view text, std::uint64_t &offset);

/** @param page the records @return body of the response to a read */
std::string encodePage(const log_page &page);

/**
 * Decodes the response to a read.
 * @param bytes body of the response
 * @param from requested offset, which is the offset of the first record
 * @param page set to the records
 * @return false if the response is malformed
 */
bool decodePage(std::string_view bytes, std::uint64_t from, log_page &page);

/** @param first lowest retained offset @return body of the response to a read below it */
std::string encodeBelowRetention(std::uint64_t first);

/**
 * Decodes the response to a read below the retained range.
 * @param text body of the response
 * @param first set to the lowest retained offset
 * @return false if the response is malformed
 */
bool decodeBelowRetention(std::string_view text, std::uint64_t &first);

/** @param record key and value @return content of a record of a keyed topic */
std::string encodeKeyedRecord(const keyed_record &record);

/**
 * Decodes the content of a record of a keyed topic.
 * @param body content of the record
 * @param offset its offset
 * @return the record, or std::nullopt if it is malformed
 */
std::optional<keyed_record> decodeKeyedRecord(std::string_view body, std::uint64_t offset);

/**
 * Encodes the response with the latest record of each key.
 * @param records the records
 * @param next offset of the next record of the topic
 */
std::string encodeNewestRecords(const std::vector<keyed_record> &records, std::uint64_t next);

/**
 * Decodes a page of the latest records of each key. A record that cannot be decoded is ignored, because any writer may have left it.
 * @param text body of the response
 * @param page set to the decoded page
 * @return false if the response as a whole is malformed
 */
bool decodeNewestRecords(std::string_view text, keyed_page &page);

} // namespace teaselward
