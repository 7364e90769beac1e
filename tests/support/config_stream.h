#pragma once

#include "platform/platform_log.h"

#include <cstdint>
#include <optional>
#include <string>

namespace teaselward
{

inline constexpr const char *TestStream = "teaselward-config"; ///< Default of config_follower_settings.

/**
 * Appends a change to the configuration stream as an operator does. A failed append fails the test.
 * @param log the log
 * @param file name of the file
 * @param content its text; nothing removes it
 * @param base version that the change replaces
 * @param id append id; empty for a new one
 * @return offset of the record
 */
std::uint64_t appendChange(platform_log &log, const std::string &file, std::optional<std::string> content, std::uint64_t base, std::string id = {});

} // namespace teaselward
