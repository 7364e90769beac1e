#pragma once

#include "config/config_record.h"

#include <optional>
#include <string>
#include <string_view>

namespace teaselward
{

/**
 * Encodes a record of the configuration stream.
 * @param record a record whose texts are valid UTF-8
 * @return JSON text
 */
std::string encodeRecord(const config_record &record);

/**
 * Decodes a record of the configuration stream.
 * @param text JSON text
 * @return the record, or nothing if the text is not a valid record
 */
std::optional<config_record> decodeRecord(std::string_view text);

} // namespace teaselward
