#pragma once

#include "platform/keyed_record.h"
#include "platform/log_page.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace teaselward
{

// Offsets count from 1 in this code and from 0 on the wire.

/**
 * Frames a record for an append.
 * @param body content of the record
 */
std::string encodeRecord(std::string_view body);

/**
 * Reads the records of an append.
 * @param bytes body of the request
 * @param bodies set to the contents of the records
 * @return false if the bytes are malformed
 */
bool decodeRecords(std::string_view bytes, std::vector<std::string> &bodies);

/** @param offset offset of the appended record @return the answer to an append */
std::string encodeAppendResponse(std::uint64_t offset);

/**
 * Reads the answer to an append.
 * @param text the answer
 * @param offset set to the offset of the record
 * @return false if the answer is malformed
 */
bool decodeAppendResponse(std::string_view text, std::uint64_t &offset);

/** @param page the records @return the answer to a read */
std::string encodePage(const log_page &page);

/**
 * Reads the answer to a read.
 * @param bytes the answer
 * @param from offset that was asked for; the first record has it
 * @param page set to the records
 * @return false if the answer is malformed
 */
bool decodePage(std::string_view bytes, std::uint64_t from, log_page &page);

/** @param first lowest offset that is kept @return the answer to a read below it */
std::string encodeBelowRetention(std::uint64_t first);

/**
 * Reads the answer to a read below the retained range.
 * @param text the answer
 * @param first set to the lowest offset that is kept
 * @return false if the answer is malformed
 */
bool decodeBelowRetention(std::string_view text, std::uint64_t &first);

/** @param record key and value @return content of a record of a keyed topic */
std::string encodeKeyedRecord(const keyed_record &record);

/**
 * Reads the content of a record of a keyed topic.
 * @param body content of the record
 * @param offset its offset
 * @return the record, or nothing if it is malformed
 */
std::optional<keyed_record> decodeKeyedRecord(std::string_view body, std::uint64_t offset);

/**
 * Makes the answer that names the newest record of each key.
 * @param records the records
 * @param next offset of the next record of the topic
 */
std::string encodeNewestRecords(const std::vector<keyed_record> &records, std::uint64_t next);

/**
 * Reads a page of the newest records of each key.
 * @param text the answer
 * @param records the records are appended here
 * @param next set to the offset of the next record of the topic
 * @param more set to whether further pages follow
 * @return false if the answer is malformed
 */
bool decodeNewestRecords(std::string_view text, std::vector<keyed_record> &records, std::uint64_t &next, bool &more);

} // namespace teaselward
