#pragma once

#include "platform/platform_log.h"

#include <cstdint>
#include <optional>
#include <string>

namespace teaselward
{

inline constexpr const char *TestStream = "teaselward-config"; ///< Default stream name of config_follower_settings.

/**
 * Appends a change record to the configuration stream. The test fails if the append fails.
 * @param log the log
 * @param file name of the file
 * @param content text of the file; std::nullopt removes the file
 * @param base version of the file that the change replaces
 * @param id append id of the record; an empty one is replaced by a new unique id
 * @return offset of the appended record
 */
std::uint64_t appendChange(platform_log &log, const std::string &file, std::optional<std::string> content, std::uint64_t base, std::string id = {});

} // namespace teaselward
