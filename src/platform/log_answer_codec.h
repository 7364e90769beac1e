#pragma once

#include "platform/log_page.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace teaselward
{

/**
 * Encodes the answer to an append.
 * @param offset offset of the record
 * @return JSON text
 */
std::string encodeAppendAnswer(std::uint64_t offset);

/**
 * Decodes the answer to an append.
 * @param text JSON text
 * @param offset set to the offset of the record
 * @return whether the text is such an answer
 */
bool decodeAppendAnswer(std::string_view text, std::uint64_t &offset);

/**
 * Encodes the answer to a read.
 * @param page the records and the retained range
 * @return JSON text; the bodies are in base64 since a record may hold any bytes
 */
std::string encodePage(const log_page &page);

/**
 * Decodes the answer to a read.
 * @param text JSON text
 * @param page set to the records and the retained range
 * @return whether the text is such an answer and the offsets grow
 */
bool decodePage(std::string_view text, log_page &page);

} // namespace teaselward
